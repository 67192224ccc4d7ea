"""Claims of teams to what is short."""

from walkcart.intent.teams import RateLimit, Team, TeamIndex


def test_claims_follow_limits_and_the_others_claim_the_average():
    teams = (
        Team("large", limit=RateLimit(30.0, 10.0)),
        Team("small", limit=RateLimit(10.0, 5.0)),
        Team("free"),
    )
    book = TeamIndex(teams)
    assert book.find_share_weight("large") == 3 * book.find_share_weight("small")
    assert book.find_share_weight("free") == book.find_share_weight("unknown") == 20.0


def test_without_limits_all_teams_claim_alike():
    book = TeamIndex((Team("one"), Team("other")))
    assert book.find_share_weight("one") == book.find_share_weight("other") == 1.0
