//! Edit records that the model appends to the log.

use crocushoist_coordination::EditId;
use crocushoist_coordination::EditRecord;
use crocushoist_coordination::LogRecord;
use crocushoist_state::ConfigChange;
use crocushoist_state::ExceptionScope;
use crocushoist_state::SettingName;

use crate::WORKSPACE;

/// Record of an edit with base revision 0.
pub(crate) fn edit(id: u128, change: ConfigChange) -> LogRecord {
    LogRecord::Edit(EditRecord {
        id: EditId(id),
        base_revision: 0,
        author: "model".into(),
        change,
    })
}

/// Change of a setting of the model's only limited workspace.
pub(crate) fn limit_change(setting: SettingName, value: u32) -> ConfigChange {
    ConfigChange::PutException {
        scope: ExceptionScope::Workspace(WORKSPACE.into()),
        setting,
        value,
        reason: "the model's limit".into(),
    }
}
