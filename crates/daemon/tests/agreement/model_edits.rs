//! Records of edits that the model writes.

use crocushoist_coordination::EditId;
use crocushoist_coordination::EditRecord;
use crocushoist_coordination::FleetRecord;
use crocushoist_state::ConfigChange;
use crocushoist_state::ExceptionScope;
use crocushoist_state::SettingName;

use crate::WORKSPACE;

/// Record of an edit that is based on nothing.
pub(crate) fn edit(id: u128, change: ConfigChange) -> FleetRecord {
    FleetRecord::Edit(EditRecord {
        id: EditId(id),
        base: 0,
        author: "model".into(),
        change,
    })
}

/// Change of the model's one limit.
pub(crate) fn limit_change(setting: SettingName, value: u32) -> ConfigChange {
    ConfigChange::PutException {
        scope: ExceptionScope::Workspace(WORKSPACE.into()),
        setting,
        value,
        reason: "the model's limit".into(),
    }
}
