package cluster

// startRelays puts a relay at the address of every process of a relayed plan.
func (cluster *Cluster) startRelays() error {
	plan := cluster.plan
	if !plan.Relayed {
		return nil
	}
	for place, address := range []string{plan.LogAddress(), plan.MachinesAddress(), plan.WeightsAddress()} {
		if err := cluster.network.Relay(address, plan.platformAddress(place+relayedPort)); err != nil {
			return err
		}
	}
	for _, machine := range plan.Machines() {
		if err := cluster.network.Relay(machine.Address, machine.Listen); err != nil {
			return err
		}
	}
	return nil
}

// CutZone cuts a zone, counted from 1, off from the others, and from the
// platform too if wanted. The plan has to be relayed.
func (cluster *Cluster) CutZone(zone int, platform bool) {
	cluster.network.CutZone(zone, cluster.plan.Zones, platform)
}

// HealZone ends what CutZone with the same arguments began.
func (cluster *Cluster) HealZone(zone int, platform bool) {
	cluster.network.HealZone(zone, cluster.plan.Zones, platform)
}
