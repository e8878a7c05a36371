package httpapi

// SetMaxBodyBytes changes the bound on the bodies of the requests in progress.
func (s *Server) SetMaxBodyBytes(n int64) { s.maxBodyBytes = n }
