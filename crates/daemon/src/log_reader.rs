//! Reads the platform's log.

use std::time::Duration;

use compio::time::sleep;

use crocushoist_coordination::FleetRecord;
use crocushoist_coordination::FoldError;
use crocushoist_protocol::LogPage;
use crocushoist_protocol::ProtocolError;
use crocushoist_protocol::decode_record;
use crocushoist_protocol::join_snapshot;
use crocushoist_state::ClockTime;
use crocushoist_transport::LogClient;
use crocushoist_transport::TransportError;

use crate::host_context::HostContext;
use crate::host_context::SharedContext;

const READ_INTERVAL_MS: u64 = 200;
const PAGE_RECORDS: usize = 512;

/// Reads the log while this host is a reader, for as long as the process runs.
pub(crate) async fn read_log(context: SharedContext) {
    let mut client = context.log_client();
    loop {
        if context.state.borrow().roles.is_reader {
            let read = read_to_tail(&context, &mut client).await;
            if read.is_err() {
                context.metrics.log_failures.inc();
            }
        }
        sleep(Duration::from_millis(READ_INTERVAL_MS)).await;
    }
}

/// Folds the log up to its tail.
pub(crate) async fn read_to_tail(
    context: &HostContext,
    client: &mut LogClient,
) -> Result<(), TransportError> {
    loop {
        let asked_at = ClockTime::now();
        let next = context.state.borrow().fold.next_offset();
        let page = client.read(next, PAGE_RECORDS).await?;
        if page.oldest > next {
            restore(context, client, page.oldest).await?;
            continue;
        }
        let records = decode_page(&page)?;
        let mut state = context.state.borrow_mut();
        if state.own.start_offset == 0 {
            state.own.start_offset = page.tail + 1;
        }
        state.absorb(page.first, records, ClockTime::now());
        if state.fold.next_offset() >= page.tail {
            if state.fold.next_offset() == page.tail {
                state.freshness.note_evidence(asked_at);
            }
            return Ok(());
        }
    }
}

fn decode_page(page: &LogPage) -> Result<Vec<Vec<u8>>, ProtocolError> {
    page.records
        .iter()
        .map(|text| LogPage::decode(text))
        .collect()
}

/// Continues from the newest snapshot in the log, because earlier records have expired.
///
/// Only accepted offsets are snapshot to the log.
async fn restore(
    context: &HostContext,
    client: &mut LogClient,
    oldest: u64,
) -> Result<(), TransportError> {
    let mut parts = Vec::new();
    let mut from = oldest;
    let tail = loop {
        let page = client.read(from, PAGE_RECORDS).await?;
        for bytes in decode_page(&page)? {
            if let Ok(FleetRecord::Snapshot(part)) = decode_record(&bytes) {
                parts.push(part);
            }
        }
        from = page.first + page.records.len() as u64;
        if page.records.is_empty() || from >= page.tail {
            break page.tail;
        }
    };
    parts.retain(|part| part.as_of >= oldest);
    let fold = join_snapshot(&parts)
        .unwrap_or_else(|| Err(FoldError::NoSnapshot { oldest, tail }.into()))?;
    let accepted = fold.next_offset();
    let mut state = context.state.borrow_mut();
    state.replace_fold(fold, accepted, ClockTime::now());
    Ok(())
}
