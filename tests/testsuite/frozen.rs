//! An entry instance that is frozen while the world goes on, as real processes.

use bytes::Bytes;
use http_body_util::Full;
use hyper::Method;
use serde_json::Value;
use serde_json::json;

use crate::harness;
use crate::harness::GENEROUS_MS;
use crate::harness::Path;
use crate::harness::Process;
use crate::harness::until_status;
use cranereach_http::client::JsonClient;
use cranereach_http::pool::Pool;
use cranereach_standin::load;
use cranereach_standin::load::Call;

/// Returns how often a named call ran at the service.
async fn runs(path: &Path, name: &str) -> u64 {
    let service = JsonClient::new(&path.service.address());
    let answer = service
        .get("/stand-in/runs", GENEROUS_MS)
        .await
        .expect("the service answers");
    let runs: Value = service.read(&answer).expect("runs are JSON");
    runs[name].as_u64().unwrap_or_default()
}

/// Sets how long the service takes for each call.
async fn set_slow(path: &Path, slow_ms: u64) {
    let service = JsonClient::new(&path.service.address());
    let set = service
        .post(
            "/stand-in/faults",
            &json!({ "slow_ms": slow_ms }),
            GENEROUS_MS,
        )
        .await;
    assert!(set.is_ok_and(|answer| answer.status == 200));
}

/// Starts a second instance beside a path's.
async fn second(path: &Path) -> (Process, Pool<Full<Bytes>>) {
    let settings = harness::write_settings(&path.folder, "entry-2", &path.platform.address());
    let entry = Process::start(&["serve", "--settings", &settings]);
    let listed = json!({ "id": "entry-2", "role": "entry", "state": "live", "domain": "d1", "address": entry.address_of("peers") });
    harness::list(&path.platform.address(), &listed).await;
    let pool = Pool::new(&entry.address_of("callers"));
    (entry, pool)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeat_while_the_first_instance_is_frozen_never_runs_again() {
    let path = Path::start("frozen-call").await;
    let first = Pool::new(&path.entry.address_of("callers"));
    let (_entry, other) = second(&path).await;
    let lookup = |name: &str| {
        Call::plain("clerks-key", Method::POST, "/ledger/tickets", "{}").with_header("x-call", name)
    };
    until_status(&first, &lookup("warm"), 200).await;
    until_status(&other, &lookup("warm"), 200).await;
    set_slow(&path, 2_000).await;
    let keyed = lookup("c1").with_header("idempotency-key", "k1");
    let calling = {
        let keyed = keyed.clone();
        tokio::spawn(async move { load::send(&first, &keyed).await })
    };
    while runs(&path, "c1").await == 0 {
        tokio::time::sleep(std::time::Duration::from_millis(10)).await;
    }
    path.entry.signal("STOP");
    let repeat = load::send(&other, &keyed).await;
    assert_eq!(repeat.code, Some(3004), "{repeat:?}");
    path.entry.signal("CONT");
    let answered = calling.await.unwrap();
    assert_eq!(answered.status, 200, "{answered:?}");
    // The first attempt's answer is known now, through either instance.
    let again = until_status(&other, &keyed, 200).await;
    assert_eq!(again.text, answered.text);
    assert_eq!(runs(&path, "c1").await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_instance_frozen_over_a_change_comes_back_with_the_new_version() {
    let path = Path::start("frozen-change").await;
    let pool = Pool::new(&path.entry.address_of("callers"));
    let models = |key: &str| Call::plain(key, Method::GET, "/v1/models", "");
    until_status(&pool, &models("crews-key"), 200).await;
    path.entry.signal("STOP");
    let settings = path.folder.join("entry-1.jsonc").display().to_string();
    let declared = path.folder.join("declared");
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
    path.entry.signal("CONT");
    until_status(&pool, &models("new-key"), 200).await;
    let outcome = load::send(&pool, &models("crews-key")).await;
    assert_eq!(outcome.status, 401, "{outcome:?}");
}
