"""HTTP routes of online model requests, which are passed to the relay."""

from __future__ import annotations

import typing

import werkzeug.wrappers

from endivevane import types
from endivevane.configuration import snapshot
from endivevane.coordination import clock
from endivevane.online import bodies, contract, messages, relay
from endivevane.web import app, errors, request_headers, server


class OnlineHandlers:
    """Handlers of the online routes.

    :param relay_task: serves the requests and owns the connections of their callers
    """

    def __init__(self, relay_task: relay.RelayTask, front_clock: clock.Clock) -> None:
        self._relay = relay_task
        self._clock = front_clock

    def complete(self, call: app.Call) -> werkzeug.wrappers.Response:
        """Pass a chat completion and its connection to the relay."""
        received_s = self._clock.monotonic_s()
        request = self._make_request(call, received_s)
        if self._relay.is_draining:
            raise errors.Unavailable("the daemon is stopping", retry_after_s=1.0)
        try:
            caller = server.detach(call.request.environ)
        except server.NotDetachable as error:
            raise errors.Unavailable(
                error.format_message(), retry_after_s=1.0
            ) from error
        self._relay.post(messages.SubmitRequest(request, caller))
        return werkzeug.wrappers.Response()

    def list_models(self, call: app.Call) -> werkzeug.wrappers.Response:
        """List the models and adapters that the organisation may use."""
        models = find_models(call.snapshot, call.organisation)
        return app.make_json_response({"object": "list", "data": models})

    def show_model(self, call: app.Call) -> werkzeug.wrappers.Response:
        """Return one model."""
        name = call.arguments["model"]
        for model in find_models(call.snapshot, call.organisation):
            if model["id"] == name:
                return app.make_json_response(model)
        raise errors.ModelNotFound(f"there is no model {name!r}", param="model")

    def _make_request(
        self, call: app.Call, received_s: float
    ) -> contract.OnlineRequest:
        fields, body = bodies.parse_body(call.request)
        service = find_service(call.snapshot, call.organisation, fields.model)
        request_headers.read_idempotency_key(call.request)
        return contract.OnlineRequest(
            request_id=call.request_id,
            organisation=call.organisation,
            service=service,
            model=fields.model,
            priority=read_priority(call.request, service),
            body=body,
            is_streamed=bool(fields.stream),
            is_deterministic=fields.is_deterministic,
            received_s=received_s,
            deadline_s=received_s
            + request_headers.read_deadline_s(
                call.request, service.model.online.deadline_s
            ),
            fingerprint=bodies.make_fingerprint(fields.model, body),
            prefix_hashes=bodies.hash_prefixes(fields.model, body["messages"]),
        )


def routes(
    relay_task: relay.RelayTask, front_clock: clock.Clock | None = None
) -> list[app.Route]:
    """Return the routes of online model requests."""
    handlers = OnlineHandlers(relay_task, front_clock or clock.SystemClock())
    return [
        app.Route("POST", "/v1/chat/completions", handlers.complete),
        app.Route("GET", "/v1/models", handlers.list_models),
        app.Route("GET", "/v1/models/<path:model>", handlers.show_model),
    ]


def find_service(
    current: snapshot.Snapshot, organisation: str, model: str
) -> snapshot.Service:
    """Return the service that offers a model to an organisation.

    :param model: name, or ``name:adapter``
    :raises errors.ModelNotFound: if there is none
    """
    service = current.find_service(organisation, model)
    if service is not None:
        return service
    name, separator, adapter = model.partition(":")
    if separator and current.find_service(organisation, name) is not None:
        text = f"model {name!r} has no adapter {adapter!r}"
        raise errors.ModelNotFound(text, param="model")
    raise errors.ModelNotFound(f"there is no model {model!r}", param="model")


def find_models(
    current: snapshot.Snapshot, organisation: str
) -> list[dict[str, typing.Any]]:
    """Return the models and adapters of an organisation, in the OpenAI format."""
    models = []
    for service in current.services.values():
        if organisation not in service.model.organisations:
            continue
        for item in service.model.models:
            names = [item.name, *(f"{item.name}:{name}" for name in item.adapters)]
            models += [
                {"id": name, "object": "model", "created": 0, "owned_by": service.name}
                for name in names
            ]
    return sorted(models, key=lambda model: str(model["id"]))


def read_priority(
    request: werkzeug.wrappers.Request, service: snapshot.Service
) -> types.Priority:
    """Return the priority from ``X-Priority`` or the service.

    :raises errors.InvalidRequest: if the header is not a valid priority
    """
    text = request.headers.get("X-Priority", service.model.online.priority)
    names = [item.name.lower() for item in types.Priority]
    if text.strip().lower() not in names:
        raise errors.InvalidRequest(
            "X-Priority must be one of " + ", ".join(names), param="X-Priority"
        )
    return types.Priority[text.strip().upper()]
