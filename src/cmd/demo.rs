//! `demo`: runs a complete deployment in one process; needs no files.

use gumdrop::Options;

use super::serve::wait_for_stop;
use crate::exit::Exit;
use cranereach_bench::demo;

/// Options of `demo`.
#[derive(Debug, Options)]
pub struct DemoArguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "keep running after the burst of load and print the addresses")]
    stay: bool,
}

/// Runs the demo.
pub fn execute(options: &DemoArguments) -> Exit {
    super::block_on(run(options.stay))
}

/// Starts the deployment, runs the demo and reports violated guarantees.
async fn run(stay: bool) -> Exit {
    let outcome = match demo::start().await {
        Ok(deployment) => demo::run(deployment).await,
        Err(error) => Err(error),
    };
    let (report, deployment) = match outcome {
        Ok(outcome) => outcome,
        Err(error) => {
            eprintln!("{error}");
            return Exit::Unavailable;
        }
    };
    for broken in &report.broken {
        println!("BROKEN    {broken}");
    }
    if report.broken.is_empty() {
        println!("kept      every promise that the demo checks");
    }
    if stay {
        for entry in deployment.entries.iter().flatten() {
            let addresses = entry.addresses();
            println!(
                "callers   http://{}/v1/models (bearer key: crews)",
                addresses.callers
            );
            println!("operators http://{}/metrics", addresses.operators);
        }
        wait_for_stop().await;
    }
    deployment.stop().await;
    if report.broken.is_empty() {
        Exit::Success
    } else {
        Exit::Failure
    }
}
