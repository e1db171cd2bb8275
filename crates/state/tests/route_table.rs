//! The longest prefix of whole segments wins.

use cranelift_entity::EntityRef;
use yare::parameterized;

use crocushoist_state::RouteAccess;
use crocushoist_state::RouteEntry;
use crocushoist_state::RouteTable;
use crocushoist_state::ServiceId;

#[parameterized(
    exact = { "/stock", Some(1) },
    below = { "/stock/bins/7", Some(1) },
    longer = { "/stock/seals/2025", Some(2) },
    not_a_segment = { "/stockings", Some(0) },
    root = { "/", Some(0) },
    empty = { "", None },
)]
fn longest_prefix_wins(path: &str, expected: Option<usize>) {
    let mut table = RouteTable::default();
    for (service, prefix) in ["/", "/stock", "/stock/seals"].into_iter().enumerate() {
        let entry = RouteEntry {
            service: ServiceId::new(service),
            access: RouteAccess::Keyed,
            revision: 1,
        };
        table.put(prefix.into(), entry);
    }
    let found = table.find(path).map(|entry| entry.service.index());
    assert_eq!(found, expected);
}
