package certificate

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/magpielug/magpielug/internal/httpclient"
	"github.com/magpielug/magpielug/internal/httpserver"
	"github.com/magpielug/magpielug/internal/resultcode"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// authority is a CA that issues certificates for address.
type authority struct {
	address     net.IP
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	serial      int64
}

func newAuthority() *authority {
	made := &authority{address: net.IPv4(127, 0, 0, 1)}
	template := made.template()
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	made.key = newKey()
	encoded, err := x509.CreateCertificate(rand.Reader, template, template, made.key.Public(), made.key)
	Expect(err).NotTo(HaveOccurred())
	made.certificate, err = x509.ParseCertificate(encoded)
	Expect(err).NotTo(HaveOccurred())
	return made
}

func newKey() *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	return key
}

func (signer *authority) template() *x509.Certificate {
	signer.serial++
	return &x509.Certificate{
		SerialNumber: big.NewInt(signer.serial),
		Subject:      pkix.Name{CommonName: "test"},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
		IPAddresses:  []net.IP{signer.address},
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
}

// write stores a new certificate, its key and the CA certificate in directory.
func (signer *authority) write(directory string) Files {
	key := newKey()
	encoded, err := x509.CreateCertificate(rand.Reader, signer.template(), signer.certificate, key.Public(), signer.key)
	Expect(err).NotTo(HaveOccurred())
	encodedKey, err := x509.MarshalECPrivateKey(key)
	Expect(err).NotTo(HaveOccurred())
	files := Files{
		Certificate: filepath.Join(directory, "certificate.pem"),
		Key:         filepath.Join(directory, "key.pem"),
		Authority:   filepath.Join(directory, "authority.pem"),
	}
	writePEM(files.Certificate, "CERTIFICATE", encoded)
	writePEM(files.Key, "EC PRIVATE KEY", encodedKey)
	writePEM(files.Authority, "CERTIFICATE", signer.certificate.Raw)
	return files
}

func writePEM(path, kind string, content []byte) {
	encoded := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: content})
	Expect(os.WriteFile(path, encoded, 0o600)).To(Succeed())
}

func newSource(files Files) *Source {
	source, err := NewSource(files, nil)
	Expect(err).NotTo(HaveOccurred())
	return source
}

// serve starts a TLS server and returns its URL with scheme http, which
// httpclient expects.
func serve(source *Source) string {
	handler := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
	server, err := httpserver.StartTLS("127.0.0.1:0", handler, httpserver.Limits{}, source.ServerConfig())
	Expect(err).NotTo(HaveOccurred())
	return "http://" + server.Address()
}

// get sends one request on a new connection.
func get(url string, source *Source) (*tls.ConnectionState, error) {
	client, err := httpclient.New(httpclient.Options{TLS: source.ClientConfig, Timeout: 10 * time.Second})
	Expect(err).NotTo(HaveOccurred())
	defer client.CloseIdleConnections()
	response, err := client.Get(url)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	Expect(response.StatusCode).To(Equal(http.StatusOK))
	return response.TLS, nil
}

var _ = Describe("Source", func() {
	It("reloads the certificate when the files change", func() {
		directory := GinkgoT().TempDir()
		signer := newAuthority()
		source := newSource(signer.write(directory))
		url := serve(source)
		first, err := get(url, source)
		Expect(err).NotTo(HaveOccurred())
		signer.write(directory)
		Eventually(func() bool {
			next, err := get(url, source)
			return err == nil && next.PeerCertificates[0].SerialNumber.Cmp(first.PeerCertificates[0].SerialNumber) != 0
		}, 20*time.Second, 100*time.Millisecond).Should(BeTrue())
	})

	It("rejects a server of another authority or with another address", func() {
		source := newSource(newAuthority().write(GinkgoT().TempDir()))
		untrusted := newSource(newAuthority().write(GinkgoT().TempDir()))
		_, err := get(serve(untrusted), source)
		Expect(err).To(MatchError(ContainSubstring("unknown authority")))
		signer := newAuthority()
		signer.address = net.IPv4(127, 0, 0, 2)
		otherAddress := newSource(signer.write(GinkgoT().TempDir()))
		_, err = get(serve(otherAddress), otherAddress)
		Expect(err).To(MatchError(ContainSubstring("not 127.0.0.1")))
	})

	It("requires client certificates of the authority with RequireClient", func() {
		files := newAuthority().write(GinkgoT().TempDir())
		files.RequireClient = true
		source := newSource(files)
		url := serve(source)
		_, err := get(url, source)
		Expect(err).NotTo(HaveOccurred())
		untrusted := newAuthority().write(GinkgoT().TempDir())
		untrusted.Authority = files.Authority
		_, err = get(url, newSource(untrusted))
		Expect(err).To(HaveOccurred())
		_, err = get(url, newSource(Files{Authority: files.Authority}))
		Expect(err).To(HaveOccurred())
	})

	It("keeps the previous certificate and reports the error when a reload fails", func() {
		directory := GinkgoT().TempDir()
		signer := newAuthority()
		reports := make(chan error, 100)
		source, err := NewSource(signer.write(directory), func(err error) { reports <- err })
		Expect(err).NotTo(HaveOccurred())
		url := serve(source)
		Expect(os.WriteFile(filepath.Join(directory, "key.pem"), []byte("half"), 0o600)).To(Succeed())
		Eventually(func() bool {
			_, err := get(url, source)
			Expect(err).NotTo(HaveOccurred())
			return len(reports) > 0
		}, 20*time.Second, 100*time.Millisecond).Should(BeTrue())
		Expect(<-reports).To(MatchError(ContainSubstring("tls.certificate")))
	})

	It("rejects incomplete settings and unreadable files", func() {
		files := newAuthority().write(GinkgoT().TempDir())
		for _, broken := range []Files{
			{Certificate: files.Certificate},
			{Key: files.Key},
			{Certificate: files.Certificate, Key: files.Key, RequireClient: true},
			{Certificate: files.Certificate, Key: files.Certificate},
			{Certificate: "absent.pem", Key: files.Key},
			{Authority: files.Key},
		} {
			_, err := NewSource(broken, nil)
			Expect(resultcode.CodeOf(err)).To(Equal(resultcode.InvalidSettings))
			Expect(err.Error()).To(ContainSubstring("tls."))
		}
	})
})
