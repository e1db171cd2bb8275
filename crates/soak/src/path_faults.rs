//! Faults of the paths mode: hosts without a path to instances, and instances that send bytes
//! without end.

use std::ops::RangeInclusive;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crocushoist_platform_standin::EndlessPart;
use crocushoist_platform_standin::LinkState;
use crocushoist_platform_standin::PathCut;

use crate::SoakError;
use crate::call_history::PathCutRecord;
use crate::soak_fleet::DATA_CENTRES;
use crate::soak_fleet::SoakFleet;
use crate::soak_run::sleep_until;

/// Milliseconds for which hosts are cut off.
pub(crate) const CUT_MS: RangeInclusive<u64> = 500..=8_000;

/// Cuts hosts drawn from `seed` off all instances until `end_ms`.
pub(crate) async fn cut_hosts(
    fleet: &SoakFleet,
    seed: u32,
    choice: u8,
    end_ms: u64,
) -> Result<(), SoakError> {
    let mut rng = ChaCha8Rng::seed_from_u64(u64::from(seed));
    let hosts = draw_hosts(&mut rng, fleet.size.hosts);
    let cut = PathCut::ALL[usize::from(choice) % PathCut::ALL.len()];
    let start_ms = fleet.now_ms();
    set_path_cuts(fleet, &hosts, Some(cut))?;
    sleep_until(fleet, end_ms).await;
    // Another cut of the same host may still last; it ends with this one.
    set_path_cuts(fleet, &hosts, None)?;
    let mut history = fleet.history.borrow_mut();
    history.path_cuts.push(PathCutRecord {
        hosts,
        span_ms: start_ms..fleet.now_ms(),
    });
    Ok(())
}

fn set_path_cuts(
    fleet: &SoakFleet,
    hosts: &[usize],
    cut: Option<PathCut>,
) -> Result<(), SoakError> {
    for host in hosts {
        let ip = fleet.host_ip(*host);
        for link in &fleet.instance_links {
            link.set_path_cut(ip, cut)?;
        }
    }
    Ok(())
}

/// Draws one host, some, those of one data centre, or all.
fn draw_hosts(rng: &mut ChaCha8Rng, count: usize) -> Vec<usize> {
    match rng.random_range(0..6) {
        0 | 1 => vec![rng.random_range(0..count)],
        2 | 3 => (0..count).filter(|_| rng.random_bool(0.4)).collect(),
        4 => {
            let centre = rng.random_range(0..DATA_CENTRES.len());
            let is_there = |host: &usize| host % DATA_CENTRES.len() == centre;
            (0..count).filter(is_there).collect()
        }
        _ => (0..count).collect(),
    }
}

/// Has instances drawn from `seed` send bytes without end until `end_ms`.
pub(crate) async fn send_without_end(fleet: &SoakFleet, seed: u32, choice: u8, end_ms: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(u64::from(seed));
    let part = EndlessPart::ALL[usize::from(choice) % EndlessPart::ALL.len()];
    let count = rng.random_range(1..=fleet.size.instances.div_ceil(4));
    let links: Vec<usize> = (0..count)
        .map(|_| rng.random_range(0..fleet.size.instances))
        .collect();
    let start_ms = fleet.now_ms();
    for link in &links {
        let state = LinkState::Endless(part);
        fleet.instance_links[*link].state.set(state);
    }
    sleep_until(fleet, end_ms).await;
    let span_ms = start_ms..fleet.now_ms();
    let mut history = fleet.history.borrow_mut();
    for link in links {
        fleet.instance_links[link].state.set(LinkState::Open);
        history.instance_cuts.push((link, span_ms.clone()));
        history.instance_silences.push((link, span_ms.clone()));
    }
}
