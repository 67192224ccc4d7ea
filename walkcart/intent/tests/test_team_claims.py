"""Tests of the teams' weights when scarce capacity is divided."""

from walkcart.intent.teams import RateLimit, Team, TeamIndex


def test_weight_is_the_rate_of_the_limit_or_the_mean_rate():
    teams = (
        Team("large", limit=RateLimit(30.0, 10.0)),
        Team("small", limit=RateLimit(10.0, 5.0)),
        Team("free"),
    )
    index = TeamIndex(teams)
    assert index.find_share_weight("large") == 3 * index.find_share_weight("small")
    assert index.find_share_weight("free") == index.find_share_weight("unknown") == 20.0


def test_without_limits_all_teams_have_the_same_weight():
    index = TeamIndex((Team("one"), Team("other")))
    assert index.find_share_weight("one") == index.find_share_weight("other") == 1.0
