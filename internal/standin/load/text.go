package load

import (
	"math/rand/v2"
	"strings"

	"github.com/cespare/xxhash/v2"

	"skylarklead/internal/prefix"
)

// words is the vocabulary of the generated texts.
var words = strings.Fields(`
	account accrual acknowledged allocation appeal approved association balance
	beneficiary bequest board budget case charter claim committee condition deed
	deposit disbursed donor drawdown endowment enquiry estate fund gift grant
	hospice income invoice ledger letter matched member minute month notice
	officer payment pledge policy quarter receipt reconciled record refund relief
	report reserve restricted schedule signed statement trust trustee unrestricted
	verified voucher waqf year`)

// Text returns a text of the given number of tokens. The same seed gives the same
// bytes on every machine. Each text begins with its seed, so texts of different
// seeds share no cache block.
func Text(seed string, tokens int) string {
	size := tokens * prefix.BytesPerToken
	random := rand.New(rand.NewPCG(xxhash.Sum64String(seed), 0))
	var b strings.Builder
	b.Grow(size + 16)
	b.WriteString(seed)
	for b.Len() < size {
		b.WriteByte(' ')
		b.WriteString(words[random.IntN(len(words))])
	}
	return b.String()[:size]
}
