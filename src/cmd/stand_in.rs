//! `stand-in`: runs a simulated platform, engine or service as a separate process.

use gumdrop::Options;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::watch;

use super::serve::wait_for_stop;
use crate::exit::Exit;
use cranereach_standin::engine::Engine;
use cranereach_standin::engine::state::EngineOptions;
use cranereach_standin::platform::Platform;
use cranereach_standin::platform::state::WeightLimits;
use cranereach_standin::service::PlainService;

/// Options of `stand-in`.
#[derive(Debug, Options)]
pub struct StandInArguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "platform, engine or service")]
    kind: String,
    #[options(
        help = "address to listen on",
        default = "127.0.0.1:0",
        meta = "IP:PORT"
    )]
    listen: String,
    #[options(
        help = "engine: accelerator memory in bytes",
        default = "80000000000",
        meta = "BYTES"
    )]
    memory_bytes: u64,
    #[options(
        help = "engine: requests batched at once",
        default = "16",
        meta = "COUNT"
    )]
    slot_count: u32,
    #[options(
        help = "engine: time per token in microseconds",
        default = "1000",
        meta = "US"
    )]
    token_us: u64,
    #[options(
        help = "engine: time of a load in milliseconds",
        default = "100",
        meta = "MS"
    )]
    load_ms: u64,
    #[options(help = "engine: do not check fencing tokens")]
    no_fences: bool,
}

/// Runs the stand-in until SIGTERM or SIGINT.
pub fn execute(options: &StandInArguments) -> Exit {
    super::block_on(run(options))
}

/// Starts the stand-in, prints its address and waits for a signal.
async fn run(options: &StandInArguments) -> Exit {
    let listener = match TcpListener::bind(&options.listen).await {
        Ok(listener) => listener,
        Err(error) => {
            eprintln!("can't listen on {}: {error}", options.listen);
            return Exit::Settings;
        }
    };
    let address = listener
        .local_addr()
        .map(|address| address.to_string())
        .unwrap_or_default();
    let (stop_sender, stop_receiver) = watch::channel(false);
    match options.kind.as_str() {
        "platform" => drop(Platform::start(
            listener,
            WeightLimits::default(),
            stop_receiver,
        )),
        "engine" => drop(Engine::start(
            listener,
            engine_options(options),
            stop_receiver,
        )),
        "service" => drop(PlainService::start(listener, stop_receiver)),
        other => {
            eprintln!("{other:?} is not one of engine, platform, service");
            return Exit::Usage;
        }
    }
    super::print_json(&json!({ "started": options.kind, "address": address }));
    wait_for_stop().await;
    stop_sender.send_replace(true);
    Exit::Success
}

/// Converts the options into those of the engine.
fn engine_options(options: &StandInArguments) -> EngineOptions {
    EngineOptions {
        memory_bytes: options.memory_bytes,
        slot_count: options.slot_count,
        token_us: options.token_us,
        load_ms: options.load_ms,
        checks_fences: !options.no_fences,
        ..EngineOptions::default()
    }
}
