//! An entry instance is suspended with SIGSTOP while the other processes go on.

use bytes::Bytes;
use http_body_util::Full;
use hyper::Method;
use serde_json::Value;
use serde_json::json;

use crate::harness;
use crate::harness::Process;
use crate::harness::ProcessDeployment;
use crate::harness::WAIT_TIMEOUT_MS;
use crate::harness::call_until_status;
use cranereach_http::client::JsonClient;
use cranereach_http::pool::Pool;
use cranereach_standin::load;
use cranereach_standin::load::Call;

/// Returns how often the service ran the named call.
async fn run_count(deployment: &ProcessDeployment, name: &str) -> u64 {
    let service = JsonClient::new(&deployment.service.address());
    let answer = service
        .get("/stand-in/runs", WAIT_TIMEOUT_MS)
        .await
        .expect("the service answers");
    let run_counts: Value = service.read(&answer).expect("the run counts are JSON");
    run_counts[name].as_u64().unwrap_or_default()
}

/// Sets how long the service takes for each call, in milliseconds.
async fn set_delay(deployment: &ProcessDeployment, slow_ms: u64) {
    let service = JsonClient::new(&deployment.service.address());
    let set = service
        .post(
            "/stand-in/faults",
            &json!({ "slow_ms": slow_ms }),
            WAIT_TIMEOUT_MS,
        )
        .await;
    assert!(set.is_ok_and(|answer| answer.status == 200));
}

/// Starts a second entry instance in the deployment; returns it with a pool for calling it.
async fn start_second_entry(deployment: &ProcessDeployment) -> (Process, Pool<Full<Bytes>>) {
    let settings = harness::write_settings(
        &deployment.folder,
        "entry-2",
        &deployment.platform.address(),
    );
    let entry = Process::start(&["serve", "--settings", &settings]);
    let listed = json!({ "id": "entry-2", "role": "entry", "state": "live", "domain": "d1", "address": entry.address_of("peers") });
    harness::list_instance(&deployment.platform.address(), &listed).await;
    let pool = Pool::new(&entry.address_of("callers"));
    (entry, pool)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeat_while_the_first_instance_is_frozen_never_runs_again() {
    let deployment = ProcessDeployment::start("frozen-call").await;
    let first_pool = Pool::new(&deployment.entry.address_of("callers"));
    let (_entry, second_pool) = start_second_entry(&deployment).await;
    let ledger_call = |name: &str| {
        Call::plain("clerks-key", Method::POST, "/ledger/tickets", "{}").with_header("x-call", name)
    };
    call_until_status(&first_pool, &ledger_call("warm"), 200).await;
    call_until_status(&second_pool, &ledger_call("warm"), 200).await;
    set_delay(&deployment, 2_000).await;
    let keyed = ledger_call("c1").with_header("idempotency-key", "k1");
    let first_call = {
        let keyed = keyed.clone();
        tokio::spawn(async move { load::send(&first_pool, &keyed).await })
    };
    while run_count(&deployment, "c1").await == 0 {
        tokio::time::sleep(std::time::Duration::from_millis(10)).await;
    }
    deployment.entry.signal("STOP");
    let repeat = load::send(&second_pool, &keyed).await;
    assert_eq!(repeat.code, Some(3004), "{repeat:?}");
    deployment.entry.signal("CONT");
    let first_outcome = first_call.await.unwrap();
    assert_eq!(first_outcome.status, 200, "{first_outcome:?}");
    // The answer of the first attempt is now available through either instance.
    let retried = call_until_status(&second_pool, &keyed, 200).await;
    assert_eq!(retried.text, first_outcome.text);
    assert_eq!(run_count(&deployment, "c1").await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_instance_frozen_over_a_change_comes_back_with_the_new_version() {
    let deployment = ProcessDeployment::start("frozen-change").await;
    let pool = Pool::new(&deployment.entry.address_of("callers"));
    let list_models = |key: &str| Call::plain(key, Method::GET, "/v1/models", "");
    call_until_status(&pool, &list_models("crews-key"), 200).await;
    deployment.entry.signal("STOP");
    let settings = deployment
        .folder
        .join("entry-1.jsonc")
        .display()
        .to_string();
    let declared = deployment.folder.join("declared");
    let file = declared.join("all.jsonc");
    let old = blake3::hash(b"crews-key").to_string();
    let new = blake3::hash(b"new-key").to_string();
    let text = std::fs::read_to_string(&file).unwrap().replace(&old, &new);
    std::fs::write(&file, text).unwrap();
    let (exit, _output, errors) = harness::run(&[
        "apply",
        "--settings",
        &settings,
        &declared.display().to_string(),
    ]);
    assert_eq!(exit, 0, "{errors}");
    deployment.entry.signal("CONT");
    call_until_status(&pool, &list_models("new-key"), 200).await;
    let outcome = load::send(&pool, &list_models("crews-key")).await;
    assert_eq!(outcome.status, 401, "{outcome:?}");
}
