"""Memory that several accounts of a process share."""

import sys

from vanillamast_sidecar.http.memory_account import MemoryAccount


class MemoryPool:
    """Opens accounts that share one limit.

    Each account may use what the others leave, except the part that is
    reserved for them. A crowd in one account thus never takes all of another.

    Attributes:
      limit: Most bytes of all accounts together.
      accounts: The accounts.
    """

    def __init__(self, limit: int = sys.maxsize):
        self.limit = limit
        self.accounts: list[MemoryAccount] = []

    def open(self, reserved: int = 0) -> MemoryAccount:
        """Opens an account.

        Args:
          reserved: Bytes that no other account may use.
        """
        account = MemoryAccount(self.limit, reserved, self.accounts)
        self.accounts.append(account)
        return account
