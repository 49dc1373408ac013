package spread

// Gateway is the entry of a failure domain that tells another domain what its own has at the
// replicas, and hears it from there: a different one for each, as far as there are as many.
// members are the domain's entries that hear each other, domains all failure domains.
func Gateway(members []string, own, other string, domains []string) string {
	if len(members) == 0 {
		return ""
	}
	return idsInOrder(members)[turnOf(own, other, domains)%len(members)]
}

// RemoteGateway is whom a speaker tells in another domain: of its entries, in the order that all
// share, the one whose turn it is there and, after so many tries without a word, a later one.
func RemoteGateway(members []string, own, other string, domains []string, tries int) string {
	if len(members) == 0 {
		return ""
	}
	return idsInOrder(members)[(turnOf(other, own, domains)+tries)%len(members)]
}

// turnOf is a domain's place among the others of one.
func turnOf(own, other string, domains []string) int {
	at := 0
	for _, d := range domains {
		if d < other && d != own {
			at++
		}
	}
	return at
}

// idsInOrder are entries in the order that all share.
func idsInOrder(members []string) []string {
	peers := make([]Peer, len(members))
	for i, id := range members {
		peers[i].ID = id
	}
	return ids(inOrder(peers))
}
