//! Requests of one workspace at a given rate, and how many of them ran in one window.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use compio::time::sleep;

use crate::fleet::KEY;
use crate::fleet::send_booking;
use crate::record::Record;

/// Milliseconds after the last request within which all are answered.
const LAST_ANSWER_MS: u64 = 2_500;

/// Bookings of one workspace; each is sent once, on a connection of its own.
#[derive(Debug, Default)]
pub struct TenantLoad {
    sent: Rc<RefCell<Vec<(Instant, String)>>>,
    answered: Rc<RefCell<Vec<(Instant, String, u16)>>>,
    number: u64,
}

impl TenantLoad {
    /// Sends `per_s` bookings a second for `millis` milliseconds, to the hosts in turn.
    pub async fn send(&mut self, hosts: &[SocketAddr], per_s: f64, millis: u64) {
        let started_at = Instant::now();
        let mut count = 0.0;
        while started_at.elapsed() < Duration::from_millis(millis) {
            while count / per_s <= started_at.elapsed().as_secs_f64() {
                count += 1.0;
                let id = format!("{:016x}", self.number);
                let host = hosts[self.number as usize % hosts.len()];
                self.number += 1;
                let (sent, answered) = (Rc::clone(&self.sent), Rc::clone(&self.answered));
                compio::runtime::spawn(async move {
                    sent.borrow_mut().push((Instant::now(), id.clone()));
                    let response = send_booking(host, KEY, &id).await;
                    let status = response.map_or(0, |response| response.status.as_u16());
                    answered.borrow_mut().push((Instant::now(), id, status));
                })
                .detach();
            }
            sleep(Duration::from_millis(2)).await;
        }
    }

    /// Waits for the last answers and writes all events into `record`; `runs` returns what ran.
    pub async fn finish(
        &self,
        record: &Record,
        runs: impl FnOnce() -> Vec<(Instant, String)>,
    ) -> Vec<(Instant, String)> {
        sleep(Duration::from_millis(LAST_ANSWER_MS)).await;
        let runs = runs();
        for (at, id) in self.sent.borrow().iter() {
            record.add(*at, format!("{id} is sent"));
        }
        for (at, id, status) in self.answered.borrow().iter() {
            record.add(*at, format!("{id} is answered {status}"));
        }
        for (at, id) in &runs {
            record.add(*at, format!("{id} runs"));
        }
        runs
    }

    /// Number of bookings that were answered with success.
    pub fn served(&self) -> usize {
        let answered = self.answered.borrow();
        answered
            .iter()
            .filter(|(_, _, status)| *status == 200)
            .count()
    }

    /// Most bookings that were both sent and run within `window`, and the start of that window.
    pub fn most_in(
        &self,
        window: Duration,
        runs: &[(Instant, String)],
    ) -> (usize, Option<Instant>) {
        let run_at: HashMap<&str, Instant> =
            runs.iter().map(|(at, id)| (id.as_str(), *at)).collect();
        let sent = self.sent.borrow();
        let mut pairs: Vec<(Instant, Instant)> = sent
            .iter()
            .filter_map(|(at, id)| Some((*at, *run_at.get(id.as_str())?)))
            .collect();
        pairs.sort();
        let count = |(index, (from, _)): (usize, &(Instant, Instant))| {
            let is_inside = |(_, run): &&(Instant, Instant)| *run - *from < window;
            let inside = pairs[index..].iter().filter(is_inside).count();
            (inside, Some(*from))
        };
        let counts = pairs.iter().enumerate().map(count);
        counts.max_by_key(|(count, _)| *count).unwrap_or((0, None))
    }
}
