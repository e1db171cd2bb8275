//! Register of the clients of a process, with the ledger that decides who gives way.
//!
//! All listeners of a process share one register. It tells the connection of a
//! client that must give way, and whoever watches why a client was turned away.

use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::rc::Weak;

use crocushoist_clients::ClientKey;
use crocushoist_clients::ClientLedger;
use crocushoist_clients::ClientStage;
use crocushoist_clients::ListenerKey;
use crocushoist_clients::PlaceClaim;
use crocushoist_state::ClockTime;

use crate::ClientAccount;
use crate::ClientEnd;
use crate::ClientLimits;
use crate::client_account::AccountState;

/// Pool in bytes of a register that nobody else chose one for.
const DEFAULT_POOL_BYTES: u64 = 64 * 1024 * 1024;

/// Register of the clients of a process; clones share their state.
#[derive(Clone)]
pub struct ClientRegister(Rc<RegisterState>);

struct RegisterState {
    ledger: RefCell<ClientLedger>,
    accounts: RefCell<HashMap<ClientKey, Weak<AccountState>>>,
    on_end: Box<dyn Fn(ClientEnd)>,
}

impl Default for ClientRegister {
    fn default() -> Self {
        ClientRegister::new(DEFAULT_POOL_BYTES, |_| {})
    }
}

impl fmt::Debug for ClientRegister {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("ClientRegister")
            .field(&self.0.ledger)
            .finish()
    }
}

impl ClientRegister {
    /// Register whose clients share `pool_bytes`; calls `on_end` for each that is turned away.
    pub fn new(pool_bytes: u64, on_end: impl Fn(ClientEnd) + 'static) -> Self {
        ClientRegister(Rc::new(RegisterState {
            ledger: RefCell::new(ClientLedger::new(pool_bytes)),
            accounts: RefCell::default(),
            on_end: Box::new(on_end),
        }))
    }

    /// Bytes of the pool that clients hold.
    pub fn held_bytes(&self) -> u64 {
        self.0.ledger.borrow().held_bytes()
    }

    /// Connected clients at all listeners.
    pub fn connected(&self) -> usize {
        self.0.ledger.borrow().connected()
    }

    /// Adds a listener at which `places` clients may be connected.
    pub(crate) fn add_listener(&self, places: usize) -> ListenerKey {
        self.0.ledger.borrow_mut().add_listener(places)
    }

    /// Account of a client that has connected from `address`; `None` if there is no place.
    pub(crate) fn connect(
        &self,
        listener: ListenerKey,
        address: SocketAddr,
    ) -> Option<ClientAccount> {
        let claim = self.ledger(|ledger, now| ledger.connect(listener, now));
        let PlaceClaim::Granted(key, gives_way) = claim else {
            self.report(ClientEnd::NoPlace);
            return None;
        };
        if let Some(leaving) = gives_way {
            self.tell_to_leave(leaving, ClientEnd::GavePlace);
        }
        let account = ClientAccount::new(self.clone(), key, address);
        let mut accounts = self.0.accounts.borrow_mut();
        accounts.insert(key, account.downgrade());
        Some(account)
    }

    /// Turns away the clients of `listener` that exceed the time limits.
    pub(crate) fn end_overdue(&self, listener: ListenerKey, limits: ClientLimits) {
        let checks = [
            (ClientStage::Head, limits.head_ms, ClientEnd::HeadLate),
            (
                ClientStage::Response,
                limits.response_ms,
                ClientEnd::ResponseLate,
            ),
        ];
        for (stage, max_ms, end) in checks {
            let overdue = self.ledger(|ledger, now| ledger.overdue(listener, stage, max_ms, now));
            for key in overdue {
                self.ledger(|ledger, _| ledger.leave(key));
                self.tell_to_leave(key, end);
            }
        }
    }

    /// Tells the client `key`, which the ledger has as leaving, to give way.
    pub(crate) fn tell_to_leave(&self, key: ClientKey, end: ClientEnd) {
        self.report(end);
        let account = self.0.accounts.borrow().get(&key).and_then(Weak::upgrade);
        if let Some(account) = account {
            account.tell_to_leave(end);
        }
    }

    /// Reports that a client is turned away.
    pub(crate) fn report(&self, end: ClientEnd) {
        (self.0.on_end)(end);
    }

    /// Removes the client `key`.
    pub(crate) fn remove(&self, key: ClientKey) {
        self.0.accounts.borrow_mut().remove(&key);
        self.0.ledger.borrow_mut().remove(key);
    }

    /// Calls `use_ledger` with the ledger and the current time.
    pub(crate) fn ledger<T>(
        &self,
        use_ledger: impl FnOnce(&mut ClientLedger, ClockTime) -> T,
    ) -> T {
        use_ledger(&mut self.0.ledger.borrow_mut(), ClockTime::now())
    }
}
