//! Reads the log of the platform and applies its records.

use std::time::Duration;

use compio::time::sleep;

use crocushoist_coordination::LogRecord;
use crocushoist_coordination::ReplayError;
use crocushoist_protocol::LogPage;
use crocushoist_protocol::ProtocolError;
use crocushoist_protocol::decode_record;
use crocushoist_protocol::join_snapshot;
use crocushoist_state::ClockTime;
use crocushoist_transport::LogClient;
use crocushoist_transport::TransportError;

use crate::host_context::HostContext;
use crate::host_context::SharedContext;

/// Milliseconds between two reads of the log by a reader.
const READ_INTERVAL_MS: u64 = 200;
/// Maximum number of records in one read.
const PAGE_RECORDS: usize = 512;

/// Reads the log whenever this host is a reader, for as long as the process runs.
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

/// Applies the log up to its tail and records the evidence that nothing was missed.
///
/// The first read also sets the start offset of this host. Fails if the log cannot be read.
pub(crate) async fn read_to_tail(
    context: &HostContext,
    client: &mut LogClient,
) -> Result<(), TransportError> {
    loop {
        let sent_at = ClockTime::now();
        let next = context.state.borrow().replayed.next_offset();
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
        state.apply_records(page.first, records, ClockTime::now());
        if state.replayed.next_offset() >= page.tail {
            if state.replayed.next_offset() == page.tail {
                state.freshness.record_evidence(sent_at);
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

/// Restores the replayed state from the newest snapshot, because earlier records have expired.
///
/// A snapshot holds accepted records only, so its whole content counts as accepted.
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
            if let Ok(LogRecord::Snapshot(part)) = decode_record(&bytes) {
                parts.push(part);
            }
        }
        from = page.first + page.records.len() as u64;
        if page.records.is_empty() || from >= page.tail {
            break page.tail;
        }
    };
    parts.retain(|part| part.as_of >= oldest);
    let replayed = join_snapshot(&parts)
        .unwrap_or_else(|| Err(ReplayError::NoSnapshot { oldest, tail }.into()))?;
    let accepted = replayed.next_offset();
    let mut state = context.state.borrow_mut();
    state.replace_replayed_state(replayed, accepted, ClockTime::now());
    Ok(())
}
