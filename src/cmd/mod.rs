//! Subcommands. Each has a module with its options and an `execute` function.

mod apply;
mod check;
mod demo;
mod domains;
mod evacuate;
mod explain;
mod folder;
mod gateway;
mod instance;
mod limits;
mod measure;
mod plan;
mod pull;
mod quarantine;
mod serve;
mod soak;
mod soak_gateway;
mod stand_in;
mod status;
mod workers;

use gumdrop::Options;

use crate::exit::Exit;

/// Command-line arguments.
#[derive(Debug, Options)]
pub struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "print the version", short = "V")]
    version: bool,
    #[options(command)]
    command: Option<Command>,
}

/// A subcommand.
#[derive(Debug, Options)]
#[expect(
    clippy::large_enum_variant,
    reason = "parsed once; gumdrop's derive macro does not support boxed options"
)]
enum Command {
    #[options(help = "run a complete demo deployment in one process, no files needed")]
    Demo(demo::DemoArguments),
    #[options(help = "run an entry instance")]
    Serve(serve::ServeArguments),
    #[options(help = "run a gateway instance, which serves the declared routes of a platform")]
    Gateway(gateway::GatewayArguments),
    #[options(help = "request the evacuation of a failure domain, or withdraw the request")]
    Evacuate(evacuate::EvacuateArguments),
    #[options(help = "show failure domains: evacuations, workers, models with no copy elsewhere")]
    Domains(domains::DomainsArguments),
    #[options(help = "show requests suspected of crashing workers, or release one")]
    Quarantine(quarantine::QuarantineArguments),
    #[options(help = "show the workers that announce a rate limit")]
    Limits(instance::ListArguments),
    #[options(help = "show the workers that are leaving or asked for a rest")]
    Workers(instance::ListArguments),
    #[options(help = "check declarations and settings without using the network")]
    Check(check::CheckArguments),
    #[options(help = "show what applying a folder would change")]
    Plan(plan::PlanArguments),
    #[options(help = "apply a folder of declarations")]
    Apply(apply::ApplyArguments),
    #[options(help = "fetch the active declarations into a folder")]
    Pull(pull::PullArguments),
    #[options(help = "show the status of an entry instance or of a change")]
    Status(status::StatusArguments),
    #[options(help = "benchmark a deployment under the load and faults of a scenario")]
    Measure(measure::MeasureArguments),
    #[options(help = "explain a failed request from the logs of gateways")]
    Explain(explain::ExplainArguments),
    #[options(help = "run a stand-in of the platform, an engine or a plain service")]
    StandIn(stand_in::StandInArguments),
    #[options(help = "run gateway processes under injected faults and check the guarantees")]
    Soak(soak::SoakArguments),
    #[options(help = "run a gateway instance of a soak test; started by `soak`")]
    SoakGateway(soak_gateway::SoakGatewayArguments),
}

/// Runs the subcommand that the arguments name.
pub fn execute(arguments: &Arguments) -> Exit {
    if arguments.version {
        println!("cranereach {}", env!("CARGO_PKG_VERSION"));
        return Exit::Success;
    }
    match &arguments.command {
        Some(Command::Demo(options)) => demo::execute(options),
        Some(Command::Serve(options)) => serve::execute(options),
        Some(Command::Gateway(options)) => gateway::execute(options),
        Some(Command::Evacuate(options)) => evacuate::execute(options),
        Some(Command::Domains(options)) => domains::execute(options),
        Some(Command::Quarantine(options)) => quarantine::execute(options),
        Some(Command::Limits(options)) => limits::execute(options),
        Some(Command::Workers(options)) => workers::execute(options),
        Some(Command::Check(options)) => check::execute(options),
        Some(Command::Explain(options)) => explain::execute(options),
        Some(Command::Plan(options)) => plan::execute(options),
        Some(Command::Apply(options)) => apply::execute(options),
        Some(Command::Pull(options)) => pull::execute(options),
        Some(Command::Status(options)) => status::execute(options),
        Some(Command::Measure(options)) => measure::execute(options),
        Some(Command::StandIn(options)) => stand_in::execute(options),
        Some(Command::Soak(options)) => soak::execute(options),
        Some(Command::SoakGateway(options)) => soak_gateway::execute(options),
        None => {
            eprintln!(
                "{}\n\n{}",
                Arguments::usage(),
                Arguments::command_list().unwrap_or_default()
            );
            Exit::Usage
        }
    }
}

/// Runs a future on a multi-threaded runtime that uses all cores.
///
/// # Panics
///
/// Panics if the runtime can't be created.
fn block_on<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    runtime
        .expect("the Tokio runtime can be created")
        .block_on(future)
}

/// Runs a future on a single-threaded runtime.
///
/// # Panics
///
/// Panics if the runtime can't be created.
fn block_on_one_core<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    runtime
        .expect("the Tokio runtime can be created")
        .block_on(future)
}

/// Prints a value as one line of JSON.
fn print_json<T: serde::Serialize>(value: &T) {
    println!("{}", serde_json::to_string(value).unwrap_or_default());
}
