//! The simulator's wire format: decodes records to events, and encodes actions to records.
//!
//! Names on the wire and in the code:
//!
//! | on the wire | in the code |
//! | --- | --- |
//! | `Born`, `Kill` | [`Record::Start`], [`Record::Stop`] |
//! | `Targets` | `Event::EndpointList` |
//! | `Query` | `Event::RequestArrived` |
//! | `First` | `Event::StreamStarted` |
//! | `Response` | `Event::AttemptEnded` |
//! | `Aborted` | `Event::ClientGone` |
//! | `Bell` | `Event::Timer` |
//! | `Echo` | `Event::ProbeEnded` |
//! | `CounterReply` | `Event::CounterAnswered` |
//! | `Inbox` | [`Record::Ignored`]: ingresses exchange no messages |

mod action_encoder;
mod byte_reader;
mod record_reader;
mod wire_error;

pub use action_encoder::encode_action;
pub use record_reader::{Record, RecordReader};
pub use wire_error::WireError;
