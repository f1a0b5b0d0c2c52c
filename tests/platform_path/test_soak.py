"""A short soak of real nodes; `make soak` runs longer ones."""

from vanillamast_testing.soak import Soak, SoakSettings, find_violations

SEED = 1
DURATION_S = 12.0


class TestSoak:
    """What the product promises holds while disturbances overlap."""

    async def test_nothing_is_violated(self, tmp_path):
        """Guards against promises that hold under one fault only."""
        settings = SoakSettings(SEED, DURATION_S, network="127.48")
        record = await Soak(settings, tmp_path).run()
        assert find_violations(record) == []
        assert record.disturbances
        assert any(request.answer.status == 200 for request in record.requests)
