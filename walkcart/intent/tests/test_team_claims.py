"""Claims of teams to what is short."""

from walkcart.intent.teams import RateLimit, Team, TeamBook


def test_claims_follow_limits_and_the_others_claim_the_average():
    teams = (
        Team("large", limit=RateLimit(30.0, 10.0)),
        Team("small", limit=RateLimit(10.0, 5.0)),
        Team("free"),
    )
    book = TeamBook(teams)
    assert book.claim_of("large") == 3 * book.claim_of("small")
    assert book.claim_of("free") == book.claim_of("unknown") == 20.0


def test_without_limits_all_teams_claim_alike():
    book = TeamBook((Team("one"), Team("other")))
    assert book.claim_of("one") == book.claim_of("other") == 1.0
