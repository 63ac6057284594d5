"""Command-line options of the engine and service stand-ins."""

import asyncio

import typer

from sassafrasdoor.standin import engine as engine_standin, service as service_standin


def engine(
    name: str = "engine-1",
    count: int = typer.Option(1, help="Engines in this process."),
    platform: str = typer.Option("", help="URL of the platform to register at."),
    service: str = "engines",
    zone: str = "zone-a",
    region: str = "region-1",
    model: list[str] = typer.Option(["model"], help="Models that it serves."),
    initial_version: int = 0,
    capacity: int = typer.Option(16, help="Concurrent streams."),
    queue_size: int = 64,
    token_rate: float = typer.Option(200.0, help="Tokens per second, one stream."),
    tail: float = typer.Option(0.8, help="Shape of the lognormal lengths."),
    swap_seconds: float = 0.5,
    install_seconds: float = typer.Option(0.0, help="Installation after a fetch."),
    weights_url: str = typer.Option("", help="Weight store; empty: --swap-seconds."),
    checks_fencing: bool = True,
    load_lag: float = 0.2,
    prefill_per_token: float = 0.0005,
    cache_prefixes: int = 32,
    cache_delay: float = 0.2,
    cache_loss: float = typer.Option(0.1, help="Fraction of cache events lost."),
    keep_done: float = 60.0,
    late: float = 2.0,
    tick: float = typer.Option(0.02, help="Seconds between batch steps."),
):
    """Run stand-ins for model engines."""
    options = engine_standin.EngineOptions(
        platform=platform,
        service=service,
        zone=zone,
        region=region,
        models=tuple(model),
        initial_version=initial_version,
        capacity=capacity,
        queue_size=queue_size,
        token_rate=token_rate,
        tail=tail,
        swap_seconds=swap_seconds,
        install_seconds=install_seconds,
        weights_url=weights_url,
        checks_fencing=checks_fencing,
        load_lag=load_lag,
        prefill_per_token=prefill_per_token,
        cache_prefixes=cache_prefixes,
        cache_delay=cache_delay,
        cache_loss=cache_loss,
        keep_done=keep_done,
        late=late,
        tick=tick,
    )
    asyncio.run(engine_standin.serve(options, name, count))


def service(
    name: str = "service-1",
    platform: str = typer.Option("", help="URL of the platform to register at."),
    service: str = "service",
    zone: str = "zone-a",
    region: str = "region-1",
    capacity: int = typer.Option(64, help="Concurrent calls."),
    delay_ms: float = typer.Option(0.0, help="Duration of a call."),
    load_lag: float = 0.2,
):
    """Run a stand-in for a plain service."""
    options = service_standin.ServiceOptions(
        platform=platform,
        service=service,
        zone=zone,
        region=region,
        capacity=capacity,
        delay=delay_ms / 1000,
        load_lag=load_lag,
    )
    asyncio.run(service_standin.serve(options, name))
