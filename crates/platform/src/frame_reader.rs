//! Reads the frames of one client within the memory that the client may hold. A frame for which there is no memory is
//! skipped: its bytes are discarded as they arrive.

use crate::shared_budget::{BudgetHolder, Purpose, Reservation};
use saltdrum_platform_wire::Malformed;
use saltdrum_platform_wire::frames::{self, ClientFrame, FrameHead, FrameKind};
use saltdrum_transport::{ArrivalReader, StreamHalf};
use std::rc::Rc;

/// Most bytes that are read from a client at once. Each client may hold as many that were read and not decoded.
pub(crate) const CLIENT_READ_BYTES: usize = 4 << 10;

/// A frame that was received completely.
pub(crate) enum ReceivedFrame {
    Whole(ClientFrame),
    /// A request that was skipped, as its client held too much memory.
    Skipped {
        stream: u32,
    },
}

/// A frame whose bytes are discarded.
struct SkippedFrame {
    head: FrameHead,
    remaining_bytes: usize,
}

/// The reader of one client's frames.
pub(crate) struct FrameReader {
    pub reader: ArrivalReader<StreamHalf>,
    /// Memory of the frame that was received in part.
    partial: Reservation,
    skipped: Option<SkippedFrame>,
}

impl FrameReader {
    /// Creates a reader whose partial frames are counted for `memory`.
    pub fn new(reader: ArrivalReader<StreamHalf>, memory: &Rc<BudgetHolder>) -> Self {
        Self {
            reader: reader.limited_to(CLIENT_READ_BYTES),
            partial: memory.empty_reservation(Purpose::Partial),
            skipped: None,
        }
    }

    /// Returns the next frame that was received completely, if any. After an error nothing more can be decoded.
    pub fn next_frame(&mut self) -> Result<Option<ReceivedFrame>, Malformed> {
        if let Some(mut skipped) = self.skipped.take() {
            let bytes = &mut self.reader.bytes;
            let discarded = bytes.split_to(skipped.remaining_bytes.min(bytes.len()));
            skipped.remaining_bytes -= discarded.len();
            if skipped.remaining_bytes > 0 {
                self.skipped = Some(skipped);
                return Ok(None);
            }
            let stream = skipped.head.stream;
            return Ok(Some(match skipped.head.kind {
                FrameKind::Invoke => ReceivedFrame::Skipped { stream },
                FrameKind::Cancel => ReceivedFrame::Whole(ClientFrame::Cancel { stream }),
                FrameKind::ReadinessQuery => {
                    ReceivedFrame::Whole(ClientFrame::ReadinessQuery { stream })
                }
            }));
        }
        let frame = frames::decode(&mut self.reader.bytes)?;
        if frame.is_some() {
            self.partial.resize(0);
        }
        Ok(frame.map(ReceivedFrame::Whole))
    }

    /// Holds the frame that was received in part, if its client may hold that much, and begins to skip it otherwise.
    pub fn hold_partial_frame(&mut self) {
        let head = frames::decode_head(&self.reader.bytes);
        let frame_bytes = head.as_ref().map_or(0, |head| head.frame_bytes);
        if self.partial.resize(frame_bytes) {
            self.reader.release_consumed(frame_bytes);
        } else {
            self.skip_partial_frame();
        }
    }

    /// Begins to skip the frame that was received in part, if its head was received.
    pub fn skip_partial_frame(&mut self) {
        if let Some(head) = frames::decode_head(&self.reader.bytes) {
            let remaining_bytes = head.frame_bytes - self.reader.bytes.len();
            self.skipped = Some(SkippedFrame {
                head,
                remaining_bytes,
            });
            self.reader.bytes.clear();
        }
        self.partial.resize(0);
        self.reader.release_consumed(0);
    }

    /// Discards all that was received and not decoded.
    pub fn discard(&mut self) {
        self.reader.bytes.clear();
        self.reader.release_consumed(0);
        self.partial.resize(0);
    }

    /// Whether a frame was received in part.
    pub fn has_partial_frame(&self) -> bool {
        self.skipped.is_some() || !self.reader.bytes.is_empty()
    }
}
