//! A session with a deployment in separate processes, compared with a golden file.

use std::fmt::Write;
use std::fs;

use hyper::Method;

use crate::harness::ProcessDeployment;
use crate::harness::call_until_status;
use cranereach_http::pool::Pool;
use cranereach_standin::load;
use cranereach_standin::load::Call;
use cranereach_standin::load::Outcome;

/// Expected text of the session.
const GOLDEN: &str = include_str!("golden/session.txt");

/// Appends one call and its outcome to the text of the session.
fn append_exchange(session: &mut String, title: &str, call: &Call, outcome: &Outcome) {
    let text = outcome.text.replace('\n', "\\n");
    let text = mask_request_ids(&text);
    writeln!(
        session,
        "# {title}\n> {} {}\n< {} {text}\n",
        call.method, call.path, outcome.status
    )
    .expect("text can be written");
}

/// Replaces request ids, which differ between runs, by `REQUEST`.
fn mask_request_ids(text: &str) -> String {
    let mut masked = String::new();
    let mut rest = text;
    while let Some(at) = rest.find("entry-1-") {
        masked.push_str(&rest[..at]);
        masked.push_str("REQUEST");
        let tail = &rest[at..];
        let end = tail
            .find(|c: char| !(c.is_ascii_alphanumeric() || c == '-'))
            .unwrap_or(tail.len());
        rest = &tail[end..];
    }
    masked + rest
}

#[tokio::test(flavor = "multi_thread")]
async fn a_session_in_separate_processes_matches_its_golden_file() {
    let deployment = ProcessDeployment::start("thin-path").await;
    let pool = Pool::new(&deployment.entry.address_of("callers"));
    let mut session = String::new();
    let first = Call::chat("crews-key", "harvest-a", "hello", 3, true);
    let title = "a cold model is loaded, then streams";
    append_exchange(
        &mut session,
        title,
        &first,
        &call_until_status(&pool, &first, 200).await,
    );
    let get = |path| Call::plain("crews-key", Method::GET, path, "");
    let steps = [
        (
            "a whole answer",
            Call::chat("crews-key", "harvest-a", "hello", 3, false),
        ),
        ("the models of the account", get("/v1/models")),
        (
            "a wrong key",
            Call::chat("nobody", "harvest-a", "hello", 3, true),
        ),
        (
            "a model of another account",
            Call::chat("crews-key", "harvest-b", "hello", 3, true),
        ),
        (
            "an unknown model",
            Call::chat("crews-key", "harvest-c", "hello", 3, true),
        ),
        (
            "not JSON",
            Call::plain("crews-key", Method::POST, "/v1/chat/completions", "{"),
        ),
        ("a path of nobody", get("/nowhere")),
        (
            "a plain service that the account may not use",
            get("/ledger/1"),
        ),
    ];
    for (title, call) in &steps {
        append_exchange(&mut session, title, call, &load::send(&pool, call).await);
    }
    let lookup = Call::plain("clerks-key", Method::POST, "/ledger/tickets", "{}")
        .with_header("x-call", "c1");
    append_exchange(
        &mut session,
        "a ledger lookup",
        &lookup,
        &call_until_status(&pool, &lookup, 200).await,
    );
    let keyed = lookup
        .with_header("x-call", "c2")
        .with_header("idempotency-key", "k1");
    append_exchange(
        &mut session,
        "a lookup with a key",
        &keyed,
        &load::send(&pool, &keyed).await,
    );
    append_exchange(
        &mut session,
        "its repeat gets the same answer",
        &keyed,
        &load::send(&pool, &keyed).await,
    );
    if session != GOLDEN {
        fs::write(deployment.folder.join("session.txt"), &session).unwrap();
    }
    assert_eq!(
        session,
        GOLDEN,
        "written to {}",
        deployment.folder.display()
    );
}
