//! What the system tells of the process's resources.

use std::fs;
use std::path::Path;

use cranereach_http::system;

/// Describes an interface in a folder, with the text of its speed.
fn add_interface(folder: &Path, name: &str, speed: &str, has_device: bool) {
    let interface = folder.join(name);
    fs::create_dir_all(&interface).unwrap();
    fs::write(interface.join("speed"), speed).unwrap();
    if has_device {
        fs::create_dir_all(interface.join("device")).unwrap();
    }
}

/// Guards against an instance that turns callers away since a tunnel states the 10 megabits a second
/// that all tunnels state, where the speed of the real interface isn't known.
#[test]
fn only_interfaces_with_a_device_tell_the_speed_of_the_link() {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("interfaces");
    // What an earlier run left.
    let _removed = fs::remove_dir_all(&folder);
    add_interface(&folder, "tun0", "10\n", false);
    add_interface(&folder, "eth0", "-1\n", true);
    assert_eq!(system::fastest_mbps(&folder), None);
    add_interface(&folder, "eth1", "1000\n", true);
    add_interface(&folder, "eth2", "100\n", true);
    assert_eq!(system::fastest_mbps(&folder), Some(1_000.0));
}

#[test]
fn a_process_uses_memory_and_may_open_files() {
    assert!(system::resident_bytes() > Some(0));
    assert!(system::descriptor_count() > 0);
    assert!(system::memory_bytes() > system::resident_bytes());
}
