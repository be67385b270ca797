//! How long a request waits for a slot of a worker under load.

use cranereach_fleet::load::Load;

#[test]
fn a_request_waits_for_a_slot_where_all_are_taken() {
    let running = |open_count: u32, waiting_count: [u32; 3]| Load {
        open_count,
        waiting_count,
        stay_ms: f64::from(open_count) * 1_600.0,
        ..Load::default()
    };
    // Sixteen slots, each occupied for 1.6 s: one becomes free every 100 ms.
    let table = [
        (running(0, [0; 3]), 0, 0.0),
        (running(15, [0; 3]), 0, 0.0),
        (running(16, [0; 3]), 0, 100.0),
        (running(18, [0, 2, 0]), 0, 100.0),
        (running(18, [0, 2, 0]), 1, 300.0),
        (running(18, [0, 2, 0]), 9, 300.0),
        (running(10, [0, 5, 0]), 1, 0.0),
    ];
    for (load, rank, expected_ms) in table {
        let wait_ms = load.slot_wait_ms(rank, 16);
        assert!(
            (wait_ms - expected_ms).abs() < 0.01,
            "{load:?} {rank}: {wait_ms}"
        );
        assert!(load.slot_wait_ms(rank, 0) < 0.01, "unknown number of slots");
    }
}
