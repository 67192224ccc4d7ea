"""Tests of the teams' weights when scarce capacity is divided."""

from walkcart.intent.teams import RateLimit, Team, TeamBook


def test_weight_is_the_rate_of_the_limit_or_the_mean_rate():
    teams = (
        Team("large", limit=RateLimit(30.0, 10.0)),
        Team("small", limit=RateLimit(10.0, 5.0)),
        Team("free"),
    )
    book = TeamBook(teams)
    assert book.claim_of("large") == 3 * book.claim_of("small")
    assert book.claim_of("free") == book.claim_of("unknown") == 20.0


def test_without_limits_all_teams_have_the_same_weight():
    book = TeamBook((Team("one"), Team("other")))
    assert book.claim_of("one") == book.claim_of("other") == 1.0
