"""Who is served where engines have too little room."""
