//! Account of one client: its stage, and the memory that it holds.

use std::cell::Cell;
use std::cell::RefCell;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::rc::Weak;

use crocushoist_clients::ClientKey;
use crocushoist_clients::ClientStage;
use crocushoist_clients::MemoryClaim;
use crocushoist_clients::MemoryUse;
use crocushoist_clients::OWN_BYTES;

use crate::ClientEnd;
use crate::ClientRegister;
use crate::StopSignal;
use crate::server_connection::runtime_round;

/// Rounds of the runtime for which a claim waits for clients that give way.
const MAX_CLAIM_ROUNDS: usize = 64;

/// Account of one client; clones share their state, and the last one removes the client.
#[derive(Clone)]
pub struct ClientAccount(Rc<AccountState>);

pub(crate) struct AccountState {
    register: ClientRegister,
    key: ClientKey,
    address: SocketAddr,
    /// Raised when the connection must be closed; another one after it went on all the same.
    closed: RefCell<StopSignal>,
    /// Raised when the upload must end, which is then refused.
    upload_ended: StopSignal,
    end: Cell<Option<ClientEnd>>,
    /// Bytes of the head that has not ended.
    head_bytes: Cell<u64>,
    /// Bytes of heads that were claimed from the pool.
    head_claim: Cell<u64>,
    /// Whether the whole response was handed to the connection.
    has_whole_response: Cell<bool>,
}

/// Memory from the pool that a client holds until this value is dropped.
#[derive(Debug)]
pub struct HeldMemory {
    account: ClientAccount,
    usage: MemoryUse,
    bytes: u64,
}

impl fmt::Debug for ClientAccount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("ClientAccount").field(&self.0.key).finish()
    }
}

impl ClientAccount {
    pub(crate) fn new(register: ClientRegister, key: ClientKey, address: SocketAddr) -> Self {
        ClientAccount(Rc::new(AccountState {
            register,
            key,
            address,
            closed: RefCell::default(),
            upload_ended: StopSignal::default(),
            end: Cell::default(),
            head_bytes: Cell::default(),
            head_claim: Cell::default(),
            has_whole_response: Cell::default(),
        }))
    }

    /// Address of the client.
    pub fn address(&self) -> SocketAddr {
        self.0.address
    }

    /// Memory for `usage` without any bytes, which may grow.
    pub fn hold_nothing(&self, usage: MemoryUse) -> HeldMemory {
        HeldMemory {
            account: self.clone(),
            usage,
            bytes: 0,
        }
    }

    /// Claims `bytes` of the pool for `usage`; `None` if there is no room and nobody gives way.
    pub async fn claim(&self, usage: MemoryUse, bytes: u64) -> Option<HeldMemory> {
        let mut memory = self.hold_nothing(usage);
        memory.grow(bytes).await.then_some(memory)
    }

    pub(crate) fn downgrade(&self) -> Weak<AccountState> {
        Rc::downgrade(&self.0)
    }

    /// Signal by which the connection is told to close.
    pub(crate) fn closed(&self) -> StopSignal {
        self.0.closed.borrow().clone()
    }

    /// Signal by which an upload is told to end.
    pub(crate) fn upload_ended(&self) -> &StopSignal {
        &self.0.upload_ended
    }

    /// Why the client was told to give way.
    pub(crate) fn end(&self) -> Option<ClientEnd> {
        self.0.end.get()
    }

    /// Reports that the client is turned away by its own connection.
    pub(crate) fn report(&self, end: ClientEnd) {
        self.0.register.report(end);
    }

    /// Stage in which the client was told to give way.
    pub(crate) fn left_stage(&self) -> ClientStage {
        self.0
            .register
            .ledger(|ledger, _| ledger.left_stage(self.0.key))
    }

    pub(crate) fn stage(&self) -> ClientStage {
        self.0.register.ledger(|ledger, _| ledger.stage(self.0.key))
    }

    pub(crate) fn set_stage(&self, stage: ClientStage) {
        let key = self.0.key;
        self.0
            .register
            .ledger(|ledger, now| ledger.set_stage(key, stage, now));
    }

    /// Goes on although it was told to give way, since its next request has come.
    pub(crate) fn stay(&self) {
        let key = self.0.key;
        self.0.closed.take();
        self.0.register.ledger(|ledger, now| ledger.stay(key, now));
    }

    /// Counts `bytes` that arrived; returns false if there is no memory for them.
    pub(crate) fn receive(&self, bytes: usize) -> bool {
        match self.stage() {
            ClientStage::Silent | ClientStage::Idle => {
                self.set_stage(ClientStage::Head);
                self.0.head_bytes.set(0);
            }
            ClientStage::Head => {}
            _ => return true,
        }
        let head_bytes = self.0.head_bytes.get() + bytes as u64;
        self.0.head_bytes.set(head_bytes);
        let missing = head_bytes
            .saturating_sub(OWN_BYTES)
            .saturating_sub(self.0.head_claim.get());
        if missing == 0 {
            return true;
        }
        if self.claim_now(MemoryUse::Request, missing) != MemoryClaim::Granted {
            self.report(ClientEnd::NoMemory);
            return false;
        }
        self.0.head_claim.set(self.0.head_claim.get() + missing);
        true
    }

    /// Records that a response is written.
    pub(crate) fn begin_response(&self) {
        self.0.has_whole_response.set(false);
        self.set_stage(ClientStage::Response);
    }

    /// Records that the whole response was handed to the connection.
    pub(crate) fn hand_over_response(&self) {
        self.0.has_whole_response.set(true);
    }

    /// Records that the connection has written all that it was handed.
    pub(crate) fn flush(&self) {
        if self.0.has_whole_response.get() && self.stage() == ClientStage::Response {
            let key = self.0.key;
            let claim = self.0.head_claim.take();
            let register = &self.0.register;
            register.ledger(|ledger, now| {
                ledger.give_back(key, MemoryUse::Request, claim, now);
                ledger.set_stage(key, ClientStage::Idle, now);
            });
        }
    }

    /// Claims `bytes` more; returns whether the client holds them.
    async fn take(&self, usage: MemoryUse, bytes: u64) -> bool {
        for _ in 0..MAX_CLAIM_ROUNDS {
            match self.claim_now(usage, bytes) {
                MemoryClaim::Granted => return true,
                MemoryClaim::After(_) | MemoryClaim::Wait => runtime_round().await,
                MemoryClaim::Refused => return false,
            }
        }
        false
    }

    /// Claims `bytes`, and tells a client that must give way first.
    fn claim_now(&self, usage: MemoryUse, bytes: u64) -> MemoryClaim {
        let key = self.0.key;
        let register = &self.0.register;
        let claim = register.ledger(|ledger, now| ledger.claim(key, usage, bytes, now));
        if let MemoryClaim::After(leaving) = claim {
            register.tell_to_leave(leaving, ClientEnd::GaveMemory);
        }
        claim
    }

    fn give_back(&self, usage: MemoryUse, bytes: u64) {
        let key = self.0.key;
        self.0
            .register
            .ledger(|ledger, now| ledger.give_back(key, usage, bytes, now));
    }
}

impl AccountState {
    /// Tells the client to give way.
    pub(crate) fn tell_to_leave(&self, end: ClientEnd) {
        self.end.set(Some(end));
        let left_stage = self
            .register
            .ledger(|ledger, _| ledger.left_stage(self.key));
        if left_stage == ClientStage::Upload {
            self.upload_ended.raise();
        } else {
            self.closed.borrow().raise();
        }
    }
}

impl Drop for AccountState {
    fn drop(&mut self) {
        self.register.remove(self.key);
    }
}

impl HeldMemory {
    /// Claims `bytes` more; returns whether the client holds them.
    pub async fn grow(&mut self, bytes: u64) -> bool {
        let is_granted = self.account.take(self.usage, bytes).await;
        if is_granted {
            self.bytes += bytes;
        }
        is_granted
    }

    /// As [`Self::grow`], without waiting for clients that give way.
    pub(crate) fn grow_now(&mut self, bytes: u64) -> bool {
        let is_granted = self.account.claim_now(self.usage, bytes) == MemoryClaim::Granted;
        if is_granted {
            self.bytes += bytes;
        }
        is_granted
    }

    /// Bytes that the client holds by this value.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }
}

impl Drop for HeldMemory {
    fn drop(&mut self) {
        if self.bytes > 0 {
            self.account.give_back(self.usage, self.bytes);
        }
    }
}
