//! Stages of a client's exchange.

/// What a client is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ClientStage {
    /// It has connected and has sent nothing.
    Silent,
    /// It has sent a part of the head of a request.
    Head,
    /// It sends the body of a request that was not passed on.
    Upload,
    /// The host has its request, and possibly an instance as well.
    Served,
    /// It has a response that it has not taken as a whole.
    Response,
    /// It has taken its response and has sent nothing since.
    Idle,
    /// It was told to give way.
    Leaving,
}

impl ClientStage {
    /// Order in which clients give up their places; `None` if the client keeps it.
    ///
    /// Whoever never asked for anything comes first, and an idle caller, which may be about to
    /// send its next request, comes late.
    pub(crate) fn place_order(self) -> Option<u8> {
        match self {
            ClientStage::Silent => Some(0),
            ClientStage::Head => Some(1),
            ClientStage::Idle => Some(2),
            ClientStage::Upload => Some(3),
            ClientStage::Response => Some(4),
            ClientStage::Served | ClientStage::Leaving => None,
        }
    }

    /// Whether the client has sent the head of a request that has not ended.
    pub(crate) fn has_request(self) -> bool {
        matches!(
            self,
            ClientStage::Upload | ClientStage::Served | ClientStage::Response
        )
    }

    /// Whether the client may be told to give back the memory that it holds.
    ///
    /// While a request is served, its end is near and its response is wanted.
    pub(crate) fn may_lose_memory(self) -> bool {
        matches!(
            self,
            ClientStage::Head | ClientStage::Upload | ClientStage::Response
        )
    }
}
