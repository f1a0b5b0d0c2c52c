"""Settings of the driver of moves."""

import msgspec


class DriverSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """When a driver takes a step.

    Attributes:
      caution: e-value from which a step lasts longer than its time slot.
      caution_slots: Maximum number of slots that a step lasts while its
        e-value is at least `caution`.
      last_pace: Minimum part of its slot that the step before share 1 lasts.
        It is the last one with traffic on both versions, so its baseline
        covers disturbances that affect both.
      evidence_lag_s: Time that outcomes take to reach the verdict. The watch
        after share 1 lasts longer by it, so that its last outcomes count.
      repeat_s: Time after which a record that was not applied is proposed
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
