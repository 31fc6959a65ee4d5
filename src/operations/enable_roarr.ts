// roarr discards all messages unless this variable is set when it is loaded.
// This module must therefore be imported before roarr.
process.env['ROARR_LOG'] = 'true';
