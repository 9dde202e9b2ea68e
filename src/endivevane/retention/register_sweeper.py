"""Deletes old rows of the register of at-most-once calls."""

from __future__ import annotations

from endivevane.coordination import register, store
from endivevane.online import at_most_once
from endivevane.retention import decisions, row_sweeper


class RegisterSweeper(row_sweeper.RowSweeper):
    """Applies the retention policy to rows of the register."""

    def advance(self, row: store.Row) -> None:
        """Delete a row if it is due, after its object."""
        step = self._policy.decide_register_row(row.value)

        def is_due() -> bool:
            return self._policy.decide_register_row(row.value) is step

        if step is decisions.RegisterStep.DELETE:
            self._calls.delete_rows([row], "register_row", is_due=is_due)
        if step is decisions.RegisterStep.ERASE:
            self._erase(row)
        if step is decisions.RegisterStep.EXPIRE:
            value = register.make_expired_value(row.value)
            expired = self._calls.write(row, value, is_due)
            if expired is not None:
                self._erase(expired)

    def _erase(self, row: store.Row) -> None:
        key = at_most_once.make_object_key(row.key, row.value["claim_id"])
        self._calls.delete_object(key, "register_object")
        self._calls.delete_rows([row], "register_row")
