//! Evacuations of data centres, as the store tells VMs of them.

use super::*;

impl Sim {
    /// Begins or ends the evacuation of a data centre. `heard_by` lists the VMs that the store tells.
    pub fn set_evacuated(&mut self, data_centre: u64, evacuated: bool, heard_by: &[usize]) {
        self.evacuations.revision += 1;
        let revision = self.evacuations.revision;
        let id = DataCentreId(data_centre);
        if evacuated {
            let name = format!("dc-{data_centre}").into();
            self.evacuations.insert(id, Evacuation { name, revision });
        } else {
            self.evacuations.remove(id);
        }
        for &vm in heard_by {
            self.push_evacuations(vm, true);
        }
    }

    /// Tells a VM that starts of the evacuations.
    pub(super) fn list_evacuations(&mut self, vm: usize) {
        self.push_evacuations(vm, false);
    }

    fn push_evacuations(&mut self, vm: usize, is_change: bool) {
        let state = Arc::new(self.evacuations.clone());
        let event = Event::Evacuations { state, is_change };
        self.push_event(self.now + 5 * MS, vm, event);
    }
}
