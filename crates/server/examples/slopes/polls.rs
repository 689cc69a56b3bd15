//! Sizes of load reports and cache events, in the format of the stand-in endpoint.

use std::fmt::Write;

/// Prints the sizes of a load report and of an event with `blocks` block digests.
pub(crate) fn run(blocks: u64) {
    let load = r#"{"run":1780000000000000,"uptime_ms":86400000,"running":48,"queued":12,"age_ms":250,"cache_blocks":50000}"#;
    let mut event = r#"{"sequence":1000000,"age_ms":250,"kind":"stored","blocks":["#.to_owned();
    for i in 0..blocks {
        let digest = (i + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15);
        let _ = write!(event, "{}{digest}", if i == 0 { "" } else { "," });
    }
    event.push_str("]}");
    println!("load {} bytes; event of {blocks} blocks {} bytes", load.len(), event.len());
}
