//! Messages and bodies from peers that end before they are complete.

use cranereach_gateway::messages::pack;
use cranereach_gateway::messages::unpack;

/// Largest size of an unpacked body in these tests, in bytes.
const MAX_BYTES: u64 = 100_000;

/// Guards against the beginning of a compressed body being taken for all of it.
#[test]
fn a_compressed_body_that_was_cut_is_not_unpacked() {
    let numbers = (0..2_000).map(|number| format!("row {number};"));
    let plains = [
        Vec::new(),
        b"x".to_vec(),
        numbers.collect::<String>().into_bytes(),
    ];
    for plain in plains {
        let packed = pack(&plain);
        assert_eq!(unpack(&packed, MAX_BYTES), Some(plain));
        for length in 0..packed.len() {
            let unpacked = unpack(&packed[..length], MAX_BYTES);
            assert_eq!(unpacked, None, "{length} of {} bytes", packed.len());
        }
    }
}
