//! The ledger against patterns of clients, without a network.

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crocushoist_clients::ClientKey;
use crocushoist_clients::ClientLedger;
use crocushoist_clients::ClientStage;
use crocushoist_clients::ListenerKey;
use crocushoist_clients::MemoryClaim;
use crocushoist_clients::MemoryUse;
use crocushoist_clients::PlaceClaim;
use crocushoist_state::ClockTime;

const POOL_BYTES: u64 = 1_000_000;

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

/// Adds a client, for which nobody may have to give way.
fn connect(ledger: &mut ClientLedger, listener: ListenerKey, now: ClockTime) -> ClientKey {
    match ledger.connect(listener, now) {
        PlaceClaim::Granted(key, None) => key,
        other => panic!("{other:?}"),
    }
}

/// Adds a client that uploads `bytes`.
fn upload(
    ledger: &mut ClientLedger,
    listener: ListenerKey,
    bytes: u64,
    now: ClockTime,
) -> ClientKey {
    let key = connect(ledger, listener, now);
    ledger.set_stage(key, ClientStage::Upload, now);
    let claim = ledger.claim(key, MemoryUse::Request, bytes, now);
    assert_eq!(claim, MemoryClaim::Granted);
    key
}

/// Pattern: uploads that stop before their end. An honest one comes later and holds more.
#[test]
fn upload_that_waits_longest_gives_way_to_an_honest_one() {
    let mut ledger = ClientLedger::new(POOL_BYTES);
    let listener = ledger.add_listener(10);
    let hoarder = upload(&mut ledger, listener, 200_000, at(0));
    let honest = upload(&mut ledger, listener, 250_000, at(8_000));
    let other = connect(&mut ledger, listener, at(9_500));
    ledger.set_stage(other, ClientStage::Upload, at(9_500));
    let claim = ledger.claim(other, MemoryUse::Request, 200_000, at(9_500));
    assert_eq!(claim, MemoryClaim::After(hoarder));
    // Until it is gone, its memory is not free, and nobody else gives way for it.
    let claim = ledger.claim(other, MemoryUse::Request, 200_000, at(9_500));
    assert_eq!(claim, MemoryClaim::Wait);
    ledger.remove(hoarder);
    let claim = ledger.claim(other, MemoryUse::Request, 200_000, at(9_500));
    assert_eq!(claim, MemoryClaim::Granted);
    assert_eq!(ledger.stage(honest), ClientStage::Upload);
}

/// Pattern: many uploads at once, all of them honest. The last ones are refused, none is ended.
#[test]
fn uploads_that_have_just_begun_do_not_give_way() {
    let mut ledger = ClientLedger::new(POOL_BYTES);
    let listener = ledger.add_listener(10);
    let first = upload(&mut ledger, listener, 250_000, at(0));
    let second = upload(&mut ledger, listener, 250_000, at(100));
    let third = connect(&mut ledger, listener, at(200));
    ledger.set_stage(third, ClientStage::Upload, at(200));
    let claim = ledger.claim(third, MemoryUse::Request, 100_000, at(200));
    assert_eq!(claim, MemoryClaim::Refused);
    assert_eq!(ledger.stage(first), ClientStage::Upload);
    assert_eq!(ledger.stage(second), ClientStage::Upload);
}

/// Pattern: requests in progress that wait for the memory of their responses.
#[test]
fn requests_leave_room_for_responses() {
    let mut ledger = ClientLedger::new(POOL_BYTES);
    let listener = ledger.add_listener(10);
    let served: Vec<ClientKey> = (0..2)
        .map(|_| upload(&mut ledger, listener, 250_000, at(0)))
        .collect();
    for key in &served {
        ledger.set_stage(*key, ClientStage::Served, at(0));
    }
    let further = connect(&mut ledger, listener, at(5_000));
    let claim = ledger.claim(further, MemoryUse::Request, 20_000, at(5_000));
    assert_eq!(claim, MemoryClaim::Refused, "requests in progress go on");
    for key in &served {
        let claim = ledger.claim(*key, MemoryUse::Response, 250_000, at(5_000));
        assert_eq!(claim, MemoryClaim::Granted);
    }
    assert_eq!(ledger.held_bytes(), POOL_BYTES);
    ledger.give_back(served[0], MemoryUse::Request, 250_000, at(5_001));
    ledger.give_back(served[0], MemoryUse::Response, 250_000, at(5_001));
    assert_eq!(ledger.held_bytes(), POOL_BYTES / 2);
}

/// Pattern: responses that nobody takes, while others wait for theirs.
#[test]
fn response_that_waits_longest_gives_way() {
    let mut ledger = ClientLedger::new(POOL_BYTES);
    let listener = ledger.add_listener(10);
    let mut readers = Vec::new();
    for number in 0..4 {
        let key = connect(&mut ledger, listener, at(number));
        ledger.set_stage(key, ClientStage::Served, at(number));
        let claim = ledger.claim(key, MemoryUse::Response, 250_000, at(number));
        assert_eq!(claim, MemoryClaim::Granted);
        ledger.set_stage(key, ClientStage::Response, at(number));
        readers.push(key);
    }
    let served = connect(&mut ledger, listener, at(2_000));
    ledger.set_stage(served, ClientStage::Served, at(2_000));
    let claim = ledger.claim(served, MemoryUse::Response, 100_000, at(2_000));
    assert_eq!(claim, MemoryClaim::After(readers[0]));
    assert_eq!(ledger.left_stage(readers[0]), ClientStage::Response);
}

/// Pattern: clients that connect and send nothing, among callers that are served or idle.
#[test]
fn places_go_from_silent_clients_to_new_ones() {
    let mut ledger = ClientLedger::new(POOL_BYTES);
    let listener = ledger.add_listener(4);
    let other_listener = ledger.add_listener(4);
    let elsewhere = connect(&mut ledger, other_listener, at(0));
    let idle = connect(&mut ledger, listener, at(0));
    ledger.set_stage(idle, ClientStage::Idle, at(1));
    let served = connect(&mut ledger, listener, at(2));
    ledger.set_stage(served, ClientStage::Served, at(3));
    let silent = connect(&mut ledger, listener, at(10));
    let begun = connect(&mut ledger, listener, at(11));
    ledger.set_stage(begun, ClientStage::Head, at(12));
    for expected in [silent, begun, idle] {
        let claim = ledger.connect(listener, at(20));
        let PlaceClaim::Granted(key, gives_way) = claim else {
            panic!("{claim:?}");
        };
        assert_eq!(gives_way, Some(expected));
        ledger.remove(expected);
        ledger.set_stage(key, ClientStage::Served, at(21));
    }
    assert_eq!(ledger.connect(listener, at(30)), PlaceClaim::Refused);
    assert_eq!(ledger.stage(served), ClientStage::Served);
    assert_eq!(ledger.stage(elsewhere), ClientStage::Silent);
}

/// Pattern: new clients without end, while those that gave way are slow to go.
#[test]
fn clients_that_leave_slowly_are_bounded() {
    const PLACES: usize = 50;
    let mut ledger = ClientLedger::new(POOL_BYTES);
    let listener = ledger.add_listener(PLACES);
    let granted = (0..1_000)
        .filter(|_| ledger.connect(listener, at(0)) != PlaceClaim::Refused)
        .count();
    assert_eq!(granted, ledger.connected());
    assert!(granted < 2 * PLACES, "{granted} connections");
}

/// Only heads that did not end in time are overdue.
#[test]
fn heads_that_do_not_end_are_overdue() {
    let mut ledger = ClientLedger::new(POOL_BYTES);
    let listener = ledger.add_listener(4);
    let late = connect(&mut ledger, listener, at(0));
    ledger.set_stage(late, ClientStage::Head, at(100));
    let idle = connect(&mut ledger, listener, at(0));
    ledger.set_stage(idle, ClientStage::Idle, at(100));
    let head = ClientStage::Head;
    assert!(ledger.overdue(listener, head, 3_000, at(3_100)).is_empty());
    assert_eq!(ledger.overdue(listener, head, 3_000, at(3_101)), [late]);
}

/// What a client of the random test holds for each use.
#[derive(Clone, Copy)]
struct Held {
    key: ClientKey,
    request_bytes: u64,
    response_bytes: u64,
}

/// Whatever clients do, the pool and the part for requests are never exceeded, and a client that is
/// served never gives way.
#[test]
fn random_clients_stay_within_the_pool() {
    const STAGES: [ClientStage; 5] = [
        ClientStage::Head,
        ClientStage::Upload,
        ClientStage::Served,
        ClientStage::Response,
        ClientStage::Idle,
    ];
    for seed in 0..200 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut ledger = ClientLedger::new(POOL_BYTES);
        let listeners = [ledger.add_listener(20), ledger.add_listener(5)];
        let mut clients: Vec<Held> = Vec::new();
        for now in (0..40_000).step_by(40).map(at) {
            let leaving = match rng.random_range(0..6) {
                0 | 1 => match ledger.connect(listeners[rng.random_range(0..2)], now) {
                    PlaceClaim::Granted(key, leaving) => {
                        clients.push(Held {
                            key,
                            request_bytes: 0,
                            response_bytes: 0,
                        });
                        leaving
                    }
                    PlaceClaim::Refused => None,
                },
                2 if !clients.is_empty() => {
                    let client = clients.swap_remove(rng.random_range(0..clients.len()));
                    ledger.remove(client.key);
                    None
                }
                3 if !clients.is_empty() => {
                    let key = clients[rng.random_range(0..clients.len())].key;
                    ledger.set_stage(key, STAGES[rng.random_range(0..STAGES.len())], now);
                    None
                }
                _ if !clients.is_empty() => {
                    let index = rng.random_range(0..clients.len());
                    let bytes = rng.random_range(1..400_000);
                    let (usage, held) = if rng.random() {
                        (MemoryUse::Request, &mut clients[index].request_bytes)
                    } else {
                        (MemoryUse::Response, &mut clients[index].response_bytes)
                    };
                    let given_back = *held;
                    let key = clients[index].key;
                    if given_back > 0 {
                        ledger.give_back(key, usage, given_back, now);
                    }
                    let claim = ledger.claim(key, usage, bytes, now);
                    let bytes = if claim == MemoryClaim::Granted {
                        bytes
                    } else {
                        0
                    };
                    match usage {
                        MemoryUse::Request => clients[index].request_bytes = bytes,
                        MemoryUse::Response => clients[index].response_bytes = bytes,
                    }
                    match claim {
                        MemoryClaim::After(leaving) => Some(leaving),
                        _ => None,
                    }
                }
                _ => None,
            };
            if let Some(leaving) = leaving {
                assert_ne!(
                    ledger.left_stage(leaving),
                    ClientStage::Served,
                    "seed {seed}"
                );
                clients.retain(|client| client.key != leaving);
                ledger.remove(leaving);
            }
            let request_bytes: u64 = clients.iter().map(|client| client.request_bytes).sum();
            let response_bytes: u64 = clients.iter().map(|client| client.response_bytes).sum();
            assert_eq!(ledger.held_bytes(), request_bytes + response_bytes);
            assert!(ledger.held_bytes() <= POOL_BYTES, "seed {seed}");
            assert!(request_bytes <= POOL_BYTES / 2, "seed {seed}");
            assert_eq!(ledger.connected(), clients.len());
        }
    }
}
