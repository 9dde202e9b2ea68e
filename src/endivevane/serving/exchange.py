"""What the parts of online serving need of one request."""

from __future__ import annotations

import dataclasses

from endivevane.serving import attempt_race, attempts, model, responder


@dataclasses.dataclass(frozen=True, slots=True)
class Exchange:
    """A request, how far it has got, and the response to its client.

    :param race: its attempts that are under way
    """

    request: model.ClientRequest
    progress: attempts.Progress
    response: responder.Responder
    race: attempt_race.AttemptRace = dataclasses.field(
        default_factory=attempt_race.AttemptRace
    )
