package spread

// Gateway returns the entry of the local failure domain that exchanges digests of the replicas'
// state with a remote one; a different entry for each remote domain as far as there are enough.
// members are the local entries that count as alive, domains all failure domains.
func Gateway(members []string, local, remote string, domains []string) string {
	if len(members) == 0 {
		return ""
	}
	return sharedOrderIDs(members)[domainIndex(local, remote, domains)%len(members)]
}

// RemoteGateway returns the entry of a remote failure domain to which the local gateway sends:
// that domain's gateway and, after a number of tries without an answer, a later member in the
// shared order.
func RemoteGateway(members []string, local, remote string, domains []string, tries int) string {
	if len(members) == 0 {
		return ""
	}
	return sharedOrderIDs(members)[(domainIndex(remote, local, domains)+tries)%len(members)]
}

// domainIndex returns the index of the domain other among the other domains of own.
func domainIndex(own, other string, domains []string) int {
	at := 0
	for _, d := range domains {
		if d < other && d != own {
			at++
		}
	}
	return at
}

// sharedOrderIDs returns entries in the shared order.
func sharedOrderIDs(members []string) []string {
	peers := make([]Peer, len(members))
	for i, id := range members {
		peers[i].ID = id
	}
	return ids(sharedOrder(peers))
}
