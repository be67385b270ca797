//! Accepted configuration takes effect on every instance and never reverts.

use serde_json::json;

use crate::fixture;
use crate::fixture::Shape;
use crate::fixture::WAIT_TIMEOUT_MS;
use cranereach_bench::deployment::Deployment;
use cranereach_bench::waiting::wait_until;
use cranereach_core::codes::ResultCode;
use cranereach_standin::load::Call;
use cranereach_standin::platform::state::PlatformFaults;
use cranereach_standin::platform::state::StoreFaults;
use cranereach_standin::relay::LinkMode;
use cranereach_wire::folder::Folder;

/// Faults of a store that refuses every request.
const REFUSING_STORE: StoreFaults = StoreFaults {
    refuses: true,
    holds: false,
    slow_ms: 0,
};

/// Returns declarations in which account `a` has a new key instead of its old one.
fn folder_with_rotated_key() -> Folder {
    let mut declared = fixture::declarations(true);
    declared["accounts"][0]["key_hashes"] = json!([fixture::key_hash("new-key")]);
    fixture::folder(&declared)
}

/// Injects faults into the platform.
fn set_faults(deployment: &Deployment, faults: PlatformFaults) {
    *deployment.platform.state().faults.lock().unwrap() = faults;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_withdrawn_key_stops_working_everywhere() {
    let deployment = fixture::start(Shape {
        entry_count: 3,
        ..Shape::default()
    })
    .await;
    let version = deployment.apply(&folder_with_rotated_key()).await.unwrap();
    deployment
        .wait_for_version(version, WAIT_TIMEOUT_MS)
        .await
        .unwrap();
    for entry in 0..3 {
        let list_models = |key: &str| Call::plain(key, hyper::Method::GET, "/v1/models", "");
        assert_eq!(
            deployment.call(entry, &list_models("a")).await.code,
            Some(1002)
        );
        assert_eq!(
            deployment.call(entry, &list_models("new-key")).await.status,
            200
        );
    }
    deployment.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn one_instance_with_the_new_version_is_enough_when_the_stores_go_down() {
    let deployment = fixture::start(Shape {
        entry_count: 3,
        ..Shape::default()
    })
    .await;
    let version = deployment.apply(&folder_with_rotated_key()).await.unwrap();
    let has_version = |entry: &Option<cranereach_entry::entry::Entry>| {
        entry
            .as_ref()
            .is_some_and(|entry| entry.shared().config().held().version == version)
    };
    wait_until("the version on one instance", WAIT_TIMEOUT_MS, || {
        deployment.entries.iter().any(has_version)
    })
    .await
    .unwrap();
    set_faults(
        &deployment,
        PlatformFaults {
            table: REFUSING_STORE,
            objects: REFUSING_STORE,
            list: REFUSING_STORE,
            ..PlatformFaults::default()
        },
    );
    deployment
        .wait_for_version(version, WAIT_TIMEOUT_MS)
        .await
        .unwrap();
    deployment.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_new_instance_starts_from_its_peers_while_table_and_objects_are_down() {
    let mut deployment = fixture::start(Shape {
        entry_count: 2,
        ..Shape::default()
    })
    .await;
    let version = deployment.apply(&folder_with_rotated_key()).await.unwrap();
    deployment
        .wait_for_version(version, WAIT_TIMEOUT_MS)
        .await
        .unwrap();
    set_faults(
        &deployment,
        PlatformFaults {
            table: REFUSING_STORE,
            objects: REFUSING_STORE,
            ..PlatformFaults::default()
        },
    );
    deployment.add_entry("d0").await.unwrap();
    deployment
        .wait_for_version(version, WAIT_TIMEOUT_MS)
        .await
        .unwrap();
    deployment.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_commit_whose_answer_is_lost_is_reported_and_applied_once() {
    let deployment = fixture::start(Shape::default()).await;
    set_faults(
        &deployment,
        PlatformFaults {
            lose_answer_count: 1,
            ..PlatformFaults::default()
        },
    );
    let stores = deployment.stores();
    let accepted = stores
        .apply(&folder_with_rotated_key(), 1, "change-1")
        .await
        .unwrap();
    assert_eq!(accepted.version, 2);
    // A retry with the same change id is not applied twice.
    let retried = stores
        .apply(&folder_with_rotated_key(), 1, "change-1")
        .await
        .unwrap();
    assert_eq!(retried.version, 2);
    assert_eq!(stores.current().await.unwrap().head.version, 2);
    deployment.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn with_a_store_down_nothing_is_accepted() {
    let deployment = fixture::start(Shape::default()).await;
    for (name, faults) in [
        (
            "table",
            PlatformFaults {
                table: REFUSING_STORE,
                ..PlatformFaults::default()
            },
        ),
        (
            "objects",
            PlatformFaults {
                objects: REFUSING_STORE,
                ..PlatformFaults::default()
            },
        ),
    ] {
        set_faults(&deployment, faults);
        let error = deployment
            .stores()
            .apply(&folder_with_rotated_key(), 1, "change-1")
            .await
            .unwrap_err();
        assert_eq!(error.code(), ResultCode::StoreUnavailable, "{name}");
        set_faults(&deployment, PlatformFaults::default());
        assert_eq!(
            deployment.stores().current().await.unwrap().head.version,
            1,
            "{name}"
        );
    }
    deployment.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_applies_conflict_on_the_same_file_and_merge_on_different_files() {
    let deployment = fixture::start(Shape::default()).await;
    let mine = folder_with_rotated_key();
    let mut theirs = fixture::declarations(true);
    theirs["accounts"][1]["parameters"] = json!({ "share": 3.0 });
    let theirs = fixture::folder(&theirs);
    let stores = deployment.stores();
    let (first, second) = tokio::join!(
        stores.apply(&mine, 1, "mine"),
        stores.apply(&theirs, 1, "theirs")
    );
    let errors: Vec<_> = [&first, &second]
        .into_iter()
        .filter_map(|result| result.as_ref().err())
        .collect();
    assert_eq!(errors.len(), 1, "{first:?} {second:?}");
    assert_eq!(errors[0].code(), ResultCode::RaceLost);
    assert!(errors[0].to_string().contains("version 2"), "{}", errors[0]);
    // Each adds another new file to version 2: the one that commits later is merged.
    let with_file = |name: &str, folder: &Folder| {
        let account = json!({ "accounts": [{ "name": name, "template": "all", "key_hashes": [fixture::key_hash(name)] }] });
        let mut folder = folder.clone();
        folder
            .files
            .insert(format!("{name}.jsonc"), account.to_string());
        folder
    };
    let base = stores.current().await.unwrap().folder;
    let (c, d) = (with_file("c", &base), with_file("d", &base));
    let (third, fourth) = tokio::join!(stores.apply(&c, 2, "c"), stores.apply(&d, 2, "d"));
    let mut versions = [third.unwrap().version, fourth.unwrap().version];
    versions.sort_unstable();
    assert_eq!(versions, [3, 4]);
    assert_eq!(stores.current().await.unwrap().folder.files.len(), 3);
    deployment.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_isolated_instance_becomes_unready_and_a_table_outage_leaves_the_others_ready() {
    let mut deployment = fixture::start(Shape {
        entry_count: 2,
        ..Shape::default()
    })
    .await;
    // The third instance reaches the platform through a relay and receives nothing from its
    // peers: its peer secret differs, so it accepts no digest of theirs.
    let (relay, address) = deployment.relay_to_platform().unwrap();
    let third = deployment
        .add_entry_with("d0", &address, |settings| {
            settings.peers.secret = Some("other".to_owned());
        })
        .await
        .unwrap();
    deployment
        .wait_for_version(1, WAIT_TIMEOUT_MS)
        .await
        .unwrap();
    let ready = |index: usize| {
        deployment.entries[index]
            .as_ref()
            .unwrap()
            .shared()
            .is_ready()
    };
    wait_until("all instances ready", WAIT_TIMEOUT_MS, || (0..3).all(ready))
        .await
        .unwrap();
    relay.set(LinkMode::Cut);
    wait_until("the third instance not ready", WAIT_TIMEOUT_MS, || {
        !ready(third)
    })
    .await
    .unwrap();
    let models_call = Call::plain("a", hyper::Method::GET, "/v1/models", "");
    assert_eq!(deployment.call(third, &models_call).await.code, Some(2008));
    deployment.platform.state().faults.lock().unwrap().table = REFUSING_STORE;
    tokio::time::sleep(std::time::Duration::from_secs(8)).await;
    assert!(ready(0) && ready(1));
    relay.set(LinkMode::Open);
    deployment.platform.state().faults.lock().unwrap().table = StoreFaults::default();
    wait_until("the third instance ready again", WAIT_TIMEOUT_MS, || {
        ready(third)
    })
    .await
    .unwrap();
    deployment.stop().await;
}
