//! Processor time of a process, read from `/proc`.

use std::fs;

/// Clock ticks per second of the times in `/proc`; fixed by the kernel's interface.
const TICKS_PER_S: f64 = 100.0;

/// Returns the user and system time that a process has used, in seconds.
///
/// `process` is a process id or `self`. Returns zero if the time can't be read.
///
/// ```
/// assert!(cranereach_bench::process::cpu_s("self") >= 0.0);
/// ```
pub fn cpu_s(process: &str) -> f64 {
    let Ok(text) = fs::read_to_string(format!("/proc/{process}/stat")) else {
        return 0.0;
    };
    // The command name in parentheses may contain spaces, so the fields are counted from its end.
    let Some((_, after)) = text.rsplit_once(')') else {
        return 0.0;
    };
    let fields: Vec<&str> = after.split_whitespace().collect();
    let ticks = |index: usize| {
        fields
            .get(index)
            .and_then(|field| field.parse::<f64>().ok())
            .unwrap_or(0.0)
    };
    (ticks(11) + ticks(12)) / TICKS_PER_S
}
