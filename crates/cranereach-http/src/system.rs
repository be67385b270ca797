//! What the system grants to the process, and what the process uses of it.

use std::fs;
use std::path::Path;

use nix::sys::resource::Resource;
use nix::sys::resource::getrlimit;
use nix::unistd::SysconfVar;
use nix::unistd::sysconf;

/// File with the memory limit of the process's control group, in bytes.
const GROUP_MEMORY_PATH: &str = "/sys/fs/cgroup/memory.max";

/// File with the memory of the machine.
const MACHINE_MEMORY_PATH: &str = "/proc/meminfo";

/// Folder with one folder for each network interface.
const INTERFACES_PATH: &str = "/sys/class/net";

/// Number of file descriptors, if the system does not tell.
const DEFAULT_DESCRIPTOR_COUNT: u64 = 1_024;

/// Page size, if the system does not tell, in bytes.
const DEFAULT_PAGE_BYTES: u64 = 4_096;

/// Returns how many file descriptors the process may open.
pub fn descriptor_count() -> u64 {
    getrlimit(Resource::RLIMIT_NOFILE).map_or(DEFAULT_DESCRIPTOR_COUNT, |(soft, _hard)| soft)
}

/// Returns the memory that the process may use, in bytes: that of its control group if it is
/// limited, or else that of the machine. `None` if the system does not tell.
pub fn memory_bytes() -> Option<u64> {
    let group = fs::read_to_string(GROUP_MEMORY_PATH).ok();
    let group_bytes = group.and_then(|text| text.trim().parse().ok());
    let machine = fs::read_to_string(MACHINE_MEMORY_PATH).ok();
    let machine_bytes = machine.and_then(|text| parse_machine_memory(&text));
    match (group_bytes, machine_bytes) {
        (Some(group), Some(machine)) => Some(u64::min(group, machine)),
        (group, machine) => group.or(machine),
    }
}

/// Returns the total memory that the text of `/proc/meminfo` tells, in bytes.
fn parse_machine_memory(text: &str) -> Option<u64> {
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix("MemTotal:"))?;
    let kibibytes: u64 = line.split_whitespace().next()?.parse().ok()?;
    Some(kibibytes * 1_024)
}

/// Returns the speed of the fastest network interface, in megabits a second; `None` if no
/// interface tells.
pub fn link_mbps() -> Option<f64> {
    fastest_mbps(Path::new(INTERFACES_PATH))
}

/// Returns the speed of the fastest interface with a device behind it, in megabits a second, given
/// the folder of all interfaces. Tunnels tell a speed that says nothing about what they carry.
pub fn fastest_mbps(interfaces: &Path) -> Option<f64> {
    let interfaces = fs::read_dir(interfaces).ok()?;
    let speeds = interfaces
        .flatten()
        .filter(|interface| interface.path().join("device").exists())
        .filter_map(|interface| read_speed(&interface.path()));
    speeds.reduce(f64::max)
}

/// Returns the speed of an interface, in megabits a second.
fn read_speed(interface: &Path) -> Option<f64> {
    let speed: f64 = fs::read_to_string(interface.join("speed"))
        .ok()?
        .trim()
        .parse()
        .ok()?;
    (speed > 0.0).then_some(speed)
}

/// Returns the memory that this process uses, in bytes; `None` if the system does not tell.
pub fn resident_bytes() -> Option<u64> {
    resident_bytes_of("self")
}

/// Returns the memory that a process uses, given by its id, in bytes; `None` if the system does not
/// tell.
///
/// ```
/// let own = std::process::id().to_string();
/// assert!(cranereach_http::system::resident_bytes_of(&own) > Some(0));
/// ```
pub fn resident_bytes_of(process: &str) -> Option<u64> {
    let text = fs::read_to_string(format!("/proc/{process}/statm")).ok()?;
    let pages: u64 = text.split_whitespace().nth(1)?.parse().ok()?;
    let page_bytes = sysconf(SysconfVar::PAGE_SIZE).ok().flatten();
    Some(pages * page_bytes.map_or(DEFAULT_PAGE_BYTES, |bytes| bytes as u64))
}
