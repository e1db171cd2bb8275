//! Tasks that wait for a signal.

use std::pin::pin;
use std::time::Duration;

use compio::time::sleep;
use futures_util::future::join_all;
use futures_util::future::select;

use crocushoist_transport::StopSignal;

/// Guards against a server that keeps a waker of each ended connection until it stops, and
/// searches all of them on each wake-up.
#[test]
fn ended_tasks_are_forgotten() {
    const CONNECTIONS: usize = 100;
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let signal = StopSignal::default();
        for _ in 0..CONNECTIONS {
            let stop = signal.raised();
            let task = compio::runtime::spawn(async {
                select(stop, pin!(sleep(Duration::from_millis(1)))).await;
            });
            task.await.unwrap();
        }
        assert_eq!(signal.waiting(), 0, "of {CONNECTIONS} tasks");
    });
}

#[test]
fn raised_signal_wakes_every_task_and_stays_raised() {
    const TASKS: usize = 20;
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let signal = StopSignal::default();
        let tasks: Vec<_> = (0..TASKS)
            .map(|_| compio::runtime::spawn(signal.raised()))
            .collect();
        let raiser = signal.clone();
        compio::runtime::spawn(async move { raiser.raise() }).detach();
        assert!(join_all(tasks).await.iter().all(Result::is_ok));
        signal.raised().await;
        assert_eq!(signal.waiting(), 0);
    });
}
