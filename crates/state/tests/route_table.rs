//! The longest prefix that matches whole path segments is chosen.

use cranelift_entity::EntityRef;
use yare::parameterized;

use crocushoist_state::RouteAccess;
use crocushoist_state::RouteEntry;
use crocushoist_state::RouteTable;
use crocushoist_state::ServiceId;

#[parameterized(
    exact_match = { "/stock", Some(1) },
    subpath = { "/stock/bins/7", Some(1) },
    longer_prefix = { "/stock/seals/2025", Some(2) },
    partial_segment = { "/stockings", Some(0) },
    root_path = { "/", Some(0) },
    empty_path = { "", None },
)]
fn longest_matching_prefix_is_found(path: &str, expected: Option<usize>) {
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
