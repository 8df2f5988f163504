package cluster

// startRelays starts a relay at the address of every process, if the plan uses
// relays.
func (cluster *Cluster) startRelays() error {
	plan := cluster.plan
	if !plan.Relayed {
		return nil
	}
	for offset, address := range []string{plan.LogAddress(), plan.MachinesAddress(), plan.WeightsAddress()} {
		if err := cluster.network.AddRelay(address, plan.platformAddress(offset+relayPortOffset)); err != nil {
			return err
		}
	}
	for _, machine := range plan.Machines() {
		if err := cluster.network.AddRelay(machine.Address, machine.Listen); err != nil {
			return err
		}
	}
	return nil
}

// IsolateZone blocks traffic between a zone, numbered from 1, and the other zones,
// and with platform set also between it and the platform's services. It requires
// a plan with relays.
func (cluster *Cluster) IsolateZone(zone int, platform bool) {
	cluster.network.IsolateZone(zone, cluster.plan.Zones, platform)
}

// HealZone undoes IsolateZone with the same arguments.
func (cluster *Cluster) HealZone(zone int, platform bool) {
	cluster.network.HealZone(zone, cluster.plan.Zones, platform)
}
