//! Listeners on reserved addresses.

use std::os::fd::AsFd;

use cranereach_http::full_backlog::FullBacklog;
use cranereach_http::reserved_address::ReservedAddress;

/// Guards against a listener that outlives its drop in a process that is being started: the address
/// could not be listened on again.
#[tokio::test]
async fn a_copied_descriptor_does_not_keep_a_dropped_listener() {
    let reserved = ReservedAddress::new(([127, 0, 0, 1], 0).into()).unwrap();
    let listener = reserved.listen().unwrap();
    let _copy = listener.as_fd().try_clone_to_owned().unwrap();
    drop(listener);
    let unreachable = FullBacklog::new(reserved.address()).unwrap();
    let _second_copy = unreachable.as_fd().try_clone_to_owned().unwrap();
    drop(unreachable);
    reserved.listen().unwrap();
}
