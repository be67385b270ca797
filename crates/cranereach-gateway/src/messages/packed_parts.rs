//! Serialization of demand parts in compressed form.

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de;
use serde::ser;

use super::DemandPart;
use super::UNPACKED_MAX_BYTES;
use super::pack;
use super::unpack;

/// Serializes and compresses parts.
pub(super) fn serialize<S: Serializer>(
    parts: &[DemandPart],
    serializer: S,
) -> Result<S::Ok, S::Error> {
    let plain = postcard::to_stdvec(parts).map_err(ser::Error::custom)?;
    pack(&plain).serialize(serializer)
}

/// Decompresses and deserializes parts.
pub(super) fn deserialize<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<DemandPart>, D::Error> {
    let packed = Vec::<u8>::deserialize(deserializer)?;
    let plain = unpack(&packed, UNPACKED_MAX_BYTES);
    let plain = plain.ok_or_else(|| de::Error::custom("cannot decompress demand parts"))?;
    postcard::from_bytes(&plain).map_err(de::Error::custom)
}
