//! Questions about the versions at which streams began, and their answers.

use serde::Deserialize;
use serde::Serialize;

use cranereach_fleet::stream_origins::OriginAnswer;

/// A question for the version at which a stream began.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginAsk {
    /// Number that the answer must carry.
    pub ticket: u64,
    /// Key of the service.
    pub service: u64,
    /// Key of the stream; zero if only the versions of the service are asked for.
    pub key: u64,
}

/// Answer to a question for the version at which a stream began.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginReply {
    /// Number of the question.
    pub ticket: u64,
    /// The answer.
    pub answer: OriginAnswer,
}
