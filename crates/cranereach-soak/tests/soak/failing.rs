//! Tests of runs that cannot start.

use std::future::pending;
use std::path::PathBuf;

use assert_matches::assert_matches;

use cranereach_soak::gateways::GatewayError;
use cranereach_soak::run;
use cranereach_soak::run::FaultSet;
use cranereach_soak::run::Plan;
use cranereach_soak::run::RunError;
use cranereach_soak::schedule::Size;

/// Returns a plan that runs another program as the gateway.
fn plan(name: &str, binary: &str) -> Plan {
    let id = std::process::id();
    let folder = std::env::temp_dir().join(format!("cranereach-soak-test-{name}-{id}"));
    run::make_folder(&folder).unwrap();
    Plan {
        binary: PathBuf::from(binary),
        folder,
        seed: 1,
        run_ms: 10_000,
        size: Size::SMALL,
        faults: FaultSet::Usual,
    }
}

#[tokio::test]
async fn a_gateway_that_exits_at_once_is_reported() {
    let plan = plan("dies", "false");
    let error = run::run(&plan, pending()).await.unwrap_err();
    assert_matches!(
        &error,
        RunError::Gateway(GatewayError::Start { number: 0, .. })
    );
    assert!(error.to_string().contains("exit status: 1"), "{error}");
    std::fs::remove_dir_all(&plan.folder).unwrap();
}

#[tokio::test]
async fn a_missing_gateway_binary_is_reported() {
    let plan = plan("missing", "/nonexistent/cranereach");
    let error = run::run(&plan, pending()).await.unwrap_err();
    assert_matches!(error, RunError::Gateway(GatewayError::Start { .. }));
    std::fs::remove_dir_all(&plan.folder).unwrap();
}
