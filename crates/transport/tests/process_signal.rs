//! Signals that a process sends to itself, while it waits for one and while it does not.

use rustix::process::Signal;
use rustix::process::getpid;
use rustix::process::kill_process;

use crocushoist_transport::ProcessSignal;

/// Signals that arrive while earlier ones are handled.
const SIGNALS_IN_A_ROW: u32 = 50_000;

fn send() {
    kill_process(getpid(), Signal::HUP).unwrap();
}

/// Guards against a handler that is gone while an earlier signal is handled: the next one ended
/// the process.
#[test]
fn signals_that_arrive_while_nobody_waits_are_handled() {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let mut signal = ProcessSignal::listen(Signal::HUP.as_raw()).unwrap();
        for _ in 0..100 {
            send();
            signal.received().await.unwrap();
            send();
            send();
            signal.received().await.unwrap();
        }
        let sender = std::thread::spawn(|| (0..SIGNALS_IN_A_ROW).for_each(|_| send()));
        while !sender.is_finished() {
            send();
            signal.received().await.unwrap();
        }
        sender.join().unwrap();
    });
}
