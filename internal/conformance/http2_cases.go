package conformance

import "golang.org/x/net/http2"

// Short names of the frame types and error codes.
const (
	frameData         = http2.FrameData
	frameHeaders      = http2.FrameHeaders
	framePriority     = http2.FramePriority
	frameReset        = http2.FrameRSTStream
	frameSettings     = http2.FrameSettings
	framePushPromise  = http2.FramePushPromise
	framePing         = http2.FramePing
	frameGoAway       = http2.FrameGoAway
	frameWindowUpdate = http2.FrameWindowUpdate
	frameContinuation = http2.FrameContinuation

	codeProtocol        = http2.ErrCodeProtocol
	codeFrameSize       = http2.ErrCodeFrameSize
	codeFlowControl     = http2.ErrCodeFlowControl
	codeStreamClosed    = http2.ErrCodeStreamClosed
	codeCompression     = http2.ErrCodeCompression
	codeEnhanceYourCalm = http2.ErrCodeEnhanceYourCalm
	codeRefusedStream   = http2.ErrCodeRefusedStream
)

// http2Table collects the cases. Sections refer to RFC 9113, or to RFC 7541 if they start with hpack.
type http2Table struct{ cases []http2Case }

// http2Cases returns all cases.
func http2Cases() []http2Case {
	t := &http2Table{}
	for _, add := range []func(){
		t.addPrefaceCases, t.addFramingCases, t.addHeaderBlockCases,
		t.addStreamStateCases, t.addStreamNumberCases,
		t.addFrameTargetCases, t.addDataAndHeadersCases, t.addPriorityAndResetCases, t.addSettingsCases, t.addPushPingGoAwayCases, t.addWindowCases, t.addContinuationCases,
		t.addMessageCases, t.addMalformedCases, t.addFieldCases, t.addFloodCases,
	} {
		add()
	}
	return t.cases
}

// add adds a case. It starts on a new connection, before the handshake.
func (t *http2Table) add(section, name, description string, run func(h *http2Conn)) {
	t.cases = append(t.cases, http2Case{section, name, description, run})
}

// addConnectionError adds a case in which frames sent after the handshake have to end the connection with one of the codes.
func (t *http2Table) addConnectionError(section, name, description string, codes []http2.ErrCode, do func(h *http2Conn)) {
	t.add(section, name, description, func(h *http2Conn) {
		h.handshake()
		do(h)
		h.expectGoAway(codes...)
	})
}

// sendFrame returns the action of a case that sends one frame.
func sendFrame(kind http2.FrameType, flags http2.Flags, stream uint32, payload ...byte) func(h *http2Conn) {
	return func(h *http2Conn) { h.writeRaw(kind, flags, stream, payload...) }
}

// anyOf lists the codes that pass.
func anyOf(codes ...http2.ErrCode) []http2.ErrCode { return codes }
