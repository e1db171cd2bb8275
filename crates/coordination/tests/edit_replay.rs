//! Tests that a second record of the same edit is ignored.

use crocushoist_coordination::EditId;
use crocushoist_coordination::EditOutcome;
use crocushoist_coordination::EditRecord;
use crocushoist_coordination::LogRecord;
use crocushoist_coordination::ReplayedState;
use crocushoist_state::ConfigChange;
use crocushoist_state::SettingName;

fn edit(id: u128, base: u64, value: u32) -> LogRecord {
    LogRecord::Edit(EditRecord {
        id: EditId(id),
        base_revision: base,
        author: "test".into(),
        change: ConfigChange::SetDefault {
            setting: SettingName::Rate,
            value,
        },
    })
}

#[test]
fn repeated_edit_keeps_its_first_outcome() {
    let mut state = ReplayedState::new(1);
    let first = edit(7, 0, 10);
    for (offset, record) in [&first, &edit(8, 1, 20), &first].into_iter().enumerate() {
        assert_eq!(state.apply(offset as u64, Some(record)), Ok(None));
    }
    let expected = EditOutcome {
        offset: 0,
        refusal: None,
    };
    assert_eq!(state.outcome(EditId(7)), Some(&expected));
    assert_eq!(state.config().default_value(SettingName::Rate), 20);
}
