//! Body that was read as a whole, with the memory that a client holds for it.
//!
//! A body with an announced length is claimed before a byte of it is read, so a
//! client without room is refused at once. The bytes beyond [`OWN_BYTES`] count
//! until the last clone of the body is dropped.

use std::pin::Pin;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use compio::time::sleep;
use displaydoc::Display;
use futures_util::future::Either;
use futures_util::future::select;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;

use crocushoist_clients::ClientStage;
use crocushoist_clients::MemoryUse;
use crocushoist_clients::OWN_BYTES;

use crate::ClientAccount;
use crate::ClientEnd;
use crate::HeldMemory;

/// Milliseconds after which memory for a response is claimed again.
const CLAIM_AGAIN_MS: u64 = 5;

/// Body that was read as a whole.
#[derive(Clone, Debug, Default)]
pub struct HeldBody {
    bytes: Bytes,
    memory: Option<Rc<HeldMemory>>,
}

/// Why a body was not read.
#[derive(Debug, Display)]
pub enum BodyError {
    /// it is longer than {0} bytes
    TooLong(u64),
    /// there is no room for it
    NoRoom,
    /// {0}
    Broken(hyper::Error),
}

impl std::error::Error for BodyError {}

impl HeldBody {
    /// The bytes.
    pub fn bytes(&self) -> &Bytes {
        &self.bytes
    }

    /// Body of `bytes`, for which the same memory is held as for this one.
    pub fn with_bytes(&self, bytes: Bytes) -> Self {
        HeldBody {
            bytes,
            memory: self.memory.clone(),
        }
    }
}

impl From<Bytes> for HeldBody {
    fn from(bytes: Bytes) -> Self {
        HeldBody {
            bytes,
            memory: None,
        }
    }
}

impl ClientAccount {
    /// Reads the body of a request of this client.
    ///
    /// Fails if it is longer than `max_bytes`, is broken off, or must end because there is no
    /// memory or no place for it; the request must not be passed on then.
    pub async fn read_upload(
        &self,
        body: &mut Incoming,
        max_bytes: u64,
    ) -> Result<HeldBody, BodyError> {
        self.set_stage(ClientStage::Upload);
        let ended = self.upload_ended().raised();
        let reading = pin!(self.read(body, max_bytes, MemoryUse::Request));
        let result = match select(reading, ended).await {
            Either::Left((result, _)) => result,
            Either::Right(_) => Err(BodyError::NoRoom),
        };
        if matches!(result, Err(BodyError::NoRoom)) && !self.upload_ended().is_raised() {
            self.report(ClientEnd::NoMemory);
        }
        self.set_stage(ClientStage::Served);
        result
    }

    /// Reads the body of a response for this client, and waits while there is no memory for it.
    ///
    /// Fails if it is longer than `max_bytes` or is broken off.
    pub async fn read_answer(&self, body: Incoming, max_bytes: u64) -> Result<HeldBody, BodyError> {
        self.read(&mut pin!(body), max_bytes, MemoryUse::Response)
            .await
    }

    /// Body of `bytes` for this client; `None` if there is no memory for it now.
    pub fn hold(&self, bytes: Bytes) -> Option<HeldBody> {
        let mut memory = self.hold_nothing(MemoryUse::Response);
        let length = bytes.len() as u64;
        let is_held = length <= OWN_BYTES || memory.grow_now(length);
        is_held.then(|| HeldBody::new(bytes, memory))
    }

    async fn read(
        &self,
        mut body: &mut (impl Body<Data = Bytes, Error = hyper::Error> + Unpin),
        max_bytes: u64,
        usage: MemoryUse,
    ) -> Result<HeldBody, BodyError> {
        let announced = body.size_hint().lower();
        if announced > max_bytes {
            return Err(BodyError::TooLong(max_bytes));
        }
        let mut memory = self.hold_nothing(usage);
        let mut filled = BytesMut::new();
        if announced > OWN_BYTES {
            grow(&mut memory, announced, usage).await?;
            filled.reserve(announced as usize);
        }
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(BodyError::Broken)?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let length = filled.len() + data.len();
            if length as u64 > max_bytes {
                return Err(BodyError::TooLong(max_bytes));
            }
            if filled.is_empty() && Pin::new(&mut body).is_end_stream() {
                return Ok(HeldBody::new(data, memory));
            }
            if length > filled.capacity() {
                let capacity = (2 * length as u64).clamp(OWN_BYTES, max_bytes.max(OWN_BYTES));
                if capacity > OWN_BYTES {
                    let missing = capacity.saturating_sub(memory.bytes());
                    grow(&mut memory, missing, usage).await?;
                }
                filled.reserve(capacity as usize - filled.len());
            }
            filled.extend_from_slice(&data);
        }
        Ok(HeldBody::new(filled.freeze(), memory))
    }
}

impl HeldBody {
    fn new(bytes: Bytes, memory: HeldMemory) -> Self {
        HeldBody {
            bytes,
            memory: (memory.bytes() > 0).then(|| Rc::new(memory)),
        }
    }

    /// The memory that a client holds for the body, if any is counted.
    pub(crate) fn into_parts(self) -> (Bytes, Option<Rc<HeldMemory>>) {
        (self.bytes, self.memory)
    }
}

/// Has the client hold `bytes` more by `memory`; a response waits for them.
async fn grow(memory: &mut HeldMemory, bytes: u64, usage: MemoryUse) -> Result<(), BodyError> {
    while !memory.grow(bytes).await {
        if usage == MemoryUse::Request {
            return Err(BodyError::NoRoom);
        }
        sleep(Duration::from_millis(CLAIM_AGAIN_MS)).await;
    }
    Ok(())
}
