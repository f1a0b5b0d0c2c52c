"""Settings of the driver of moves."""

import msgspec


class DriverSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """When a driver takes a step.

    Attributes:
      caution: e-value from which a step waits for longer than its slot.
      caution_slots: Slots that a step waits for at most when evidence is
        doubtful.
      last_pace: Part of its slot that the step before the last one takes at
        least. It is the last one with both versions side by side, so it shows
        what disturbs both and gives a baseline that includes it.
      evidence_lag_s: Time that outcomes take to reach the verdict; the watch
        after share 1 ends by so much later, so that its end counts.
      repeat_s: Time after which a record that is not folded yet is proposed
        again, with the same id.
      finish_margin_s: Time before the deadline at which `on_deadline:
        finish` takes the last step, so that the append is in time.
    """

    caution: float = 4.0
    caution_slots: float = 2.0
    last_pace: float = 0.5
    evidence_lag_s: float = 10.0
    repeat_s: float = 6.0
    finish_margin_s: float = 6.0
